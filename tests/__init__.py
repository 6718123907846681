"""Tests of redwingrudder."""
