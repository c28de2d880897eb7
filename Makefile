VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test bench clean

$(VENV)/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/installed
	$(BIN)/python examples/demo.py

test: $(VENV)/installed
	$(BIN)/ruff format --check src platform soak examples benchmarks tools
	$(BIN)/flake8 src platform soak examples benchmarks tools
	$(BIN)/mypy
	$(BIN)/python -m tools.run_tests

bench: $(VENV)/installed
	$(BIN)/python -m benchmarks

clean:
	rm -rf $(VENV)
