# Development tasks, one target each.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed

.PHONY: install demo fleet test check format bench mutants capacity binary clean

install: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

demo: install
	$(PYTHON) -m extras.demo

fleet: install
	$(PYTHON) -m extras.demo --stay

check: install
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: install
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

test: install
	$(PYTHON) -m tests.run

bench: install
	$(PYTHON) -m extras.bench.run

mutants: install
	$(PYTHON) -m extras.mutants

capacity: install
	$(PYTHON) -m extras.capacity.run

binary: install
	$(PYTHON) -m extras.build_binary

clean:
	rm -rf $(VENV) build dist
