BIN := .venv/bin

.PHONY: build test lint run sites

build: .venv

.venv: requirements.txt
	python3 -m venv .venv
	$(BIN)/pip -q install -r requirements.txt
	touch .venv

test: build
	$(BIN)/pytest -q

lint: build
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

# With CONFIG=config.json one server alone; without, one with an emulated world round it, until Ctrl-C.
run: build
ifdef CONFIG
	LB_CONFIG=$(CONFIG) exec $(BIN)/python -m pumicenotch
else
	exec $(BIN)/pumicenotch lab up
endif

# What the bench wants beside a site file, laid beside ours from the operators' kit; git ignores it.
KIT := ../given/kit/sites
sites:
	@test -f $(KIT)/real.json || { echo "make sites: no $(KIT): the bench's kit is not here; its plays can't be made" >&2; exit 1; }
	cp $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt
