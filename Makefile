VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python

.PHONY: demo test lint format features

$(VENV)/.installed: pyproject.toml
	@echo "==> installing the environment into $(VENV)"
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -e '.[test]'
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m standins.demo

test: lint features

lint: $(VENV)/.installed
	@echo "==> formatter"
	$(RUN) -m ruff format --check .
	@echo "==> linter"
	$(RUN) -m flake8 eelgrassknot standins tests benchmarks

format: $(VENV)/.installed
	$(RUN) -m ruff format .

features: $(VENV)/.installed
	@echo "==> features"
	$(RUN) -m tests.run

MINUTES ?= 5
SEED ?= 1

.PHONY: soak controls
soak: $(VENV)/.installed
	$(RUN) -m standins.soak --minutes $(MINUTES) --seed $(SEED)

FIRST ?= 1
COUNT ?= 10

.PHONY: entry-soak
entry-soak: $(VENV)/.installed
	$(RUN) -m tests.entry_soak --first $(FIRST) --count $(COUNT)

controls: $(VENV)/.installed
	$(RUN) -m tests.system.controls
