# Two commands do everything: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test check unit guards spec bench bench-platform clean

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/yokesill demo

test: check unit guards spec

check: $(VENV)/.installed
	$(BIN)/ruff format --check src tests spec bench deploy
	$(BIN)/ruff check src tests spec bench deploy
	$(BIN)/mypy
	$(BIN)/lint-imports

unit: $(VENV)/.installed
	$(BIN)/pytest

guards: $(VENV)/.installed
	$(BIN)/python tests/check_guards.py

spec: $(VENV)/.installed
	$(BIN)/python spec/check.py

bench: $(VENV)/.installed
	$(BIN)/python bench/run.py

# The users' bench is not part of this repository: its path comes in FLEETBENCH.
bench-platform:
	@test -n "$(FLEETBENCH)" || { echo "set FLEETBENCH=PATH (the users' bench) and SITE=FILE; WHY=\"...\" goes into the journal"; exit 2; }
	$(FLEETBENCH) score $(SITE) --why "$(WHY)"

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .pytest_cache .hypothesis
