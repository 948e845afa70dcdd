# Everything runs from a virtual environment beside the sources.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src
export PYTHONHASHSEED = 0

.PHONY: demo test check format bench clean

demo: $(VENV)/.ready
	$(BIN)/python -m gentianfold.standins.demo_main

test: $(VENV)/.ready
	$(BIN)/python -m pytest

check: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

clean:
	rm -rf $(VENV)
