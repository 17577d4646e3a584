PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src
export PYTHONHASHSEED := 0
STAMP := $(VENV)/.installed

.PHONY: help install demo explain-check test lint format fuzz fuzz-records soak regression clean

help: ## List the targets.
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

install: $(STAMP) ## Make the virtual environment from the lock files.

$(STAMP): requirements.lock requirements-dev.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: install ## Run the main job with embedded stand-ins and print what held.
	$(BIN)/beryl-local demo

explain-check: install ## Play three failures and name their causes from the logs alone.
	$(BIN)/python -m pytest testing/test_explain.py

test: install ## Run the tests.
	$(BIN)/python -m pytest -n 5 --dist worksteal

lint: install ## Check formatting, lint rules and types.
	$(BIN)/black --check --quiet src testing
	$(BIN)/ruff check --quiet src testing
	$(BIN)/mypy

format: install ## Rewrite the sources in the project's format.
	$(BIN)/ruff check --fix --exit-zero --quiet src testing
	$(BIN)/black --quiet src testing

fuzz: install ## Run the stateful fuzz long (BERYL_FUZZ_SEED, _EXAMPLES, _STEPS).
	$(BIN)/python -m beryljunction.fuzz

fuzz-records: install ## Play hostile records to every decoder (SECONDS, default 600; SEED).
	$(BIN)/python testing/hostile_records.py $(or $(SECONDS),600) $(or $(SEED),1)

SEEDS ?= 1-50

soak: install ## Run real entry processes through many seeds of faults (SEEDS=1-50).
	$(BIN)/python testing/process_soak.py --seeds $(SEEDS)

# Site files of the deployments that every change is played on, and the users' bench; neither is a
# part of this repository: make regression FLEETBENCH=... SITES="a.toml b.toml" WHY="..."
regression: install ## Score the chosen deployments and compare with the last committed figures.
	@test -n "$(FLEETBENCH)" -a -n "$(SITES)" -a -n "$(WHY)" || \
		{ echo "regression: expected FLEETBENCH, SITES and WHY, got one of them empty" >&2; exit 2; }
	for site in $(SITES); do $(FLEETBENCH) score $$site --jobs 3 --why "$(WHY)" || exit 1; done
	$(BIN)/beryl-bench regression

clean: ## Remove the virtual environment and caches.
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache
