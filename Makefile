# Everything a developer or CI runs.  VENV may name a virtual environment that exists already.
VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python
STAMP = $(VENV)/.requirements-installed

.PHONY: venv format lint test demo pages

venv: $(STAMP)

$(STAMP): requirements.txt requirements-runtime.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $(STAMP)

format: venv
	$(PY) -m black --quiet gypsumpier misc
	$(PY) -m ruff check --quiet --fix gypsumpier misc

lint: venv
	$(PY) -m black --check --quiet gypsumpier misc
	$(PY) -m ruff check --quiet gypsumpier misc
	$(PY) -m mypy

test: venv
	$(PY) -m misc.runtests

# Starts a deployment of examples/ at real size; WEIGHTS may name a directory of weight files.
# PLATFORM=rung-lab shows an entry on that platform instead, before stand-ins of it.
DEPLOYMENT ?= rung-lab
PLATFORM ?= own
demo: venv
	$(if $(filter rung-lab,$(PLATFORM)),$(PY) -m misc.platform_demo,$(PY) -m misc.demo --deployment $(DEPLOYMENT) $(if $(WEIGHTS),--weights $(WEIGHTS)))

# Writes the pages of docs/ that are made from the code.
pages: venv
	$(PY) -m misc.pages

SEED ?= 1

# Measures how soon edits are in force everywhere; takes about three minutes.
.PHONY: measure-documents
measure-documents: venv
	$(PY) -m misc.measure_documents --seed $(SEED)

# Measures how costs grow with the fleet, for docs/CAPACITY.md; takes about eight minutes.
GROUPS ?= tables links busy spread relay rollout
.PHONY: measure-capacity
measure-capacity: venv
	$(PY) -m misc.measure_capacity $(foreach group,$(GROUPS),--only $(group))

# Measures how the cost of an admission grows with the fleet; takes ten seconds.
.PHONY: measure-admission
measure-admission: venv
	$(PY) -m misc.measure_admission

# Checks the promises to callers under a seeded schedule of faults; the last line is JSON.
.PHONY: faults
faults: venv
	$(PY) -m misc.faults --seed $(SEED)

# Measures goodput, fairness, prefix hits and what entry and agent add to an answer.
.PHONY: measure-requests
measure-requests: venv
	$(PY) -m misc.measure_requests --seed $(SEED)

# Measures a rollout of weights; DEPLOYMENT is rung-lab, relojera or burst.  FAULTS=1 adds faults.
REPLICAS ?= 100
.PHONY: measure-weights
measure-weights: venv
	$(PY) -m misc.measure_weights --deployment $(DEPLOYMENT) --seed $(SEED) \
		--replicas $(REPLICAS) $(if $(FAULTS),--faults)

# Checks the promises to callers on the Rung Lab platform, on real processes under seeded faults.
SECONDS ?= 60
.PHONY: soak
soak: venv
	$(PY) -m misc.soak --seed $(SEED) --seconds $(SECONDS)
