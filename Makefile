PYTHON ?= python3
POETRY = .poetry/bin/poetry
BIN = .venv/bin

.PHONY: install run platform soak seva test lint bench bench-policies bench-transports capacity dist generate

install: .venv/.installed

.venv/.installed: pyproject.toml poetry.lock
	test -x $(POETRY) || ($(PYTHON) -m venv .poetry && .poetry/bin/pip install --quiet 'poetry==2.5.1')
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	VIRTUAL_ENV=$(CURDIR)/.venv $(POETRY) install --quiet --no-interaction
	touch .venv/.installed

run: install
	$(BIN)/python -m standin.run

platform: install
	PYTHONPATH=src:platform $(BIN)/python -m standin.mesh_run $(PLATFORM_ARGS)

soak: install
	PYTHONPATH=src:platform $(BIN)/python -m standin.soak --seeds 5

seva: install
	$(BIN)/python -m standin.run --seva

test: install
	$(BIN)/python -m pytest -m "not crowd" $(PYTEST_ARGS)
	$(BIN)/python -m pytest -m crowd --numprocesses 0 $(PYTEST_ARGS)

lint: install
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

bench: install
	$(BIN)/python -m benchmark.latency

bench-policies: install
	$(BIN)/python -m benchmark.policy

bench-transports: install
	$(BIN)/python -m benchmark.transport

capacity: install
	$(BIN)/python -m benchmark.capacity
	PYTHONPATH=src:platform:. $(BIN)/python -m benchmark.mesh_capacity

dist: install
	$(BIN)/python tool/build_dist.py

generate: install
	$(BIN)/python tool/generate_rpc.py
