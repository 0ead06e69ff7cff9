PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
DEPLOYMENT ?= cooperativa
SEED ?= 1
COUNT ?= 20

.PHONY: setup demo bench fuzz soak test lint format clean

setup: $(READY)

$(READY): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $(READY)

test: $(READY)
	$(BIN)/python -m tools.run_tests

demo: $(READY)
	$(BIN)/python -m tools.demo $(DEPLOYMENT)
	$(BIN)/python -m tools.route_demo

fuzz: $(READY)
	$(BIN)/python -m tests.fuzz --first $(SEED) --count $(COUNT)

soak: $(READY)
	$(BIN)/python -m soak --first $(SEED) --count $(COUNT)

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)

bench: $(READY)
	$(BIN)/python -m bench.policy
