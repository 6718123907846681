"""Translation between the users' platform and the product.

Nothing outside this folder knows the platform's names. Each message of the
platform is decoded once, into the product's own types.
"""
