VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format modelcheck unittest

demo: $(STAMP)
	$(VENV)/bin/redwingrudder demo

test: lint modelcheck unittest

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests

format: $(STAMP)
	$(VENV)/bin/ruff format src tests
	$(VENV)/bin/ruff check --fix src tests

modelcheck: $(STAMP)
	$(PYTHON) -m redwingrudder.specification

unittest: $(STAMP)
	$(PYTHON) -m tests.run

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)
