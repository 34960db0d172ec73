PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint prove capacity soak bench format

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

SEED ?= 1
RUNS ?= 200

prove: setup
	$(BIN)/python -m standins.prove --seed $(SEED) --runs $(RUNS)

capacity: setup
	$(BIN)/python -m standins.capacity

FIRST ?= 1
SEEDS ?= 50

soak: setup
	$(BIN)/python -m standins.soak --first $(FIRST) --runs $(SEEDS)

bench: setup
	$(BIN)/python -m standins.path_benchmark
	$(BIN)/python -m standins.gateway_benchmark
	$(BIN)/python -m standins.decision_benchmark
