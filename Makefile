# Targets: setup (environment from the lock file), demo, test, check (formatter, linter, types).
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup demo test check lock clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: setup
	$(VENV)/bin/python examples/demo.py

test: setup
	$(VENV)/bin/python -m tests.runner

check: setup
	$(VENV)/bin/ruff format --check src tests examples benchmarks tools
	$(VENV)/bin/ruff check src tests examples benchmarks tools
	$(VENV)/bin/mypy

lock:
	$(VENV)/bin/python -m piptools compile --extra dev --strip-extras --no-emit-index-url --no-emit-find-links --no-header -o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build var
