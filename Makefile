PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format reference messages

$(BIN)/bulrushflow: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(BIN)/bulrushflow
	scripts/demo.sh

lint: $(BIN)/bulrushflow
	$(BIN)/black --quiet --check src tests benchmarks scripts
	$(BIN)/ruff check --quiet src tests benchmarks scripts
	$(BIN)/mypy

format: $(BIN)/bulrushflow
	$(BIN)/black --quiet src tests benchmarks scripts
	$(BIN)/ruff check --quiet --fix src tests benchmarks scripts

reference: $(BIN)/bulrushflow
	PYTHONPATH=src:. $(BIN)/python -m scripts.reference

messages: $(BIN)/bulrushflow
	PYTHONPATH=src:. $(BIN)/python -m scripts.messages
	$(BIN)/black --quiet src/bulrushflow/wire/generated_messages.py

test: lint
	PYTHONPATH=src:. $(BIN)/python -m tests
