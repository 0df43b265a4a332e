PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint format

setup: .venv/.installed

.venv/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --constraint constraints.txt --editable ".[bench,dev]"
	touch $@

demo: setup
	$(BIN)/python examples/demo.py

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check src platform tests tools examples
	$(BIN)/ruff check src platform tests tools examples

format: setup
	$(BIN)/ruff format src platform tests tools examples
	$(BIN)/ruff check --fix src platform tests tools examples
