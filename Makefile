# Both README commands work on a bare machine with python3 (3.11 or newer).
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: install test lint format demo bench bench-budget bench-load bench-slopes bench-data-path \
	bench-spread bench-guards bench-large-configuration soak

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

install: $(VENV)/.installed

test: install
	$(BIN)/python -m pytest tests

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(BIN)/python -m examples.demo

bench: bench-budget bench-load bench-slopes bench-spread

bench-budget: install
	$(BIN)/python -m benchmarks.budget_schemes

bench-load: install
	$(BIN)/python -m benchmarks.load_policies

bench-slopes: install
	$(BIN)/python -m benchmarks.slopes

bench-guards: install
	$(BIN)/python -m benchmarks.guards_left_out

bench-spread: install
	$(BIN)/python -m benchmarks.configuration_spread

bench-data-path: install
	$(BIN)/python -m benchmarks.data_path

bench-large-configuration: install
	$(BIN)/python -m benchmarks.large_configuration

soak: install
	$(BIN)/python -m soak --seeds 50
