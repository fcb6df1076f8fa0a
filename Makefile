# `make demo` and `make test` do all set-up themselves.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
LIBS := model decisions consensus state wire rates group control store relay entry sidecar daemon cli fakes
EDITABLE := $(foreach lib,$(LIBS),-e libs/$(lib))
STAMP := $(VENV)/.installed

.PHONY: setup demo test unit features format lint docs bench measure capacity bench-consensus bench-state bench-sidecar bench-path bench-roles run-association run-agency

setup: $(STAMP)

$(STAMP): requirements.txt $(foreach lib,$(LIBS),libs/$(lib)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet "setuptools>=77" wheel
	$(BIN)/python -m pip install --quiet -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: setup
	$(BIN)/python -W ignore tools/demo.py

test: setup
	$(BIN)/python -W ignore -m behave --format plain --no-skipped --no-source --no-capture features
	$(BIN)/python -m pytest

run-association run-agency: run-%: setup
	$(BIN)/python -W ignore tools/run_deployment.py $*

unit: setup
	$(BIN)/python -m pytest

features: setup
	$(BIN)/python -W ignore -m behave --format plain --no-skipped --no-source --no-capture features

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/python tools/check_imports.py

docs: setup
	$(BIN)/python -m mkdocs build --strict --quiet --site-dir build/site

bench-consensus: setup
	$(BIN)/python benchmarks/consensus_bench.py

bench-sidecar: setup
	$(BIN)/python benchmarks/sidecar_bench.py

bench-state: setup
	$(BIN)/python benchmarks/state_bench.py

bench-roles: setup
	$(BIN)/python -W ignore platform/roles_bench.py

bench-path: setup
	$(BIN)/python -W ignore benchmarks/path_bench.py

capacity: setup
	$(BIN)/python -W ignore benchmarks/capacity.py

bench: bench-path bench-consensus bench-state bench-sidecar

measure: setup
	$(BIN)/python tools/measure.py
