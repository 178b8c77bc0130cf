PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := fescuestile fescuestile-api fescuestile-client \
	fescuestile-daemon fescuestile-cli fescuestile-standins
PROJECTS := $(addprefix packages/,$(PACKAGES)) platform
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint schema

setup: $(STAMP)

$(STAMP): requirements.txt deploy/requirements.txt $(PROJECTS:=/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt -r deploy/requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps \
		$(addprefix -e ,$(PROJECTS))
	touch $(STAMP)

demo: setup
	$(BIN)/python -m fescuestile_standins.demo
	$(BIN)/python -m tests.platform.standins.demo

# Processes that run tests at a time: most wait for timers, not processors.
WORKERS ?= 4

test: setup
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal -m "not alone"
	$(BIN)/python -m pytest -m alone

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform soak tests measurements
	$(BIN)/mypy packages/*/src platform/src soak tests measurements

schema: setup
	$(BIN)/python -m grpc_tools.protoc \
		-I packages/fescuestile-api/src \
		--python_out=packages/fescuestile-api/src \
		--pyi_out=packages/fescuestile-api/src \
		--grpc_python_out=packages/fescuestile-api/src \
		packages/fescuestile-api/src/fescuestile_api/fescuestile.proto
