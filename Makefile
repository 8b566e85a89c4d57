GO ?= go
LINT := bin/golangci-lint

.PHONY: all build demo up down test bench lint fmt generate tools fuzz faults soak bench-quiet rename-tool

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

up: build
	scripts/fleet.sh up

down:
	scripts/fleet.sh down

test:
	scripts/test.sh

# A long search for breaks of budgets, configuration and the commands' parser, at any seed: make fuzz SEED=7 CHECKS=100000.
SEED ?= 0
CHECKS ?= 50000

fuzz:
	$(GO) test -timeout 0 ./internal/budget/reclaim -run TestBudgetsUnderFaults -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)
	$(GO) test -timeout 0 ./internal/workspace/catalogue -run TestFleetKeepsConfiguration -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)
	$(GO) test -timeout 0 ./internal/budget/prepaid -run TestNeverOverspent -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime 1m ./internal/workspace/operator
	$(GO) test -run '^$$' -fuzz FuzzRequest -fuzztime 1m ./platform
	$(GO) test -run '^$$' -fuzz FuzzTarget -fuzztime 1m ./platform

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

tools:
	$(GO) build -modfile=tools/go.mod -o bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint
	$(GO) build -modfile=tools/go.mod -o bin/stringer golang.org/x/tools/cmd/stringer

# What renames identifiers with all their uses: bin/gopls rename -w FILE:LINE:COLUMN NAME.
rename-tool:
	$(GO) -C tools/rename build -o ../../bin/gopls golang.org/x/tools/gopls

lint: tools
	$(LINT) run ./...
	$(LINT) fmt --diff ./...

fmt: tools
	$(LINT) fmt ./...

# The names of enums come first, since what writes the pages does not compile without them.
generate: tools
	$(GO) generate -run stringer ./...
	$(MAKE) build
	$(GO) generate ./...

faults: build
	scripts/faults.sh all

# Random faults against real router processes, at any seeds: make soak SEEDS=1-50 SOAK_TIME=20s.
SEEDS ?= 1-10
SOAK_TIME ?= 15s

soak:
	$(GO) test -timeout 0 ./platform/soak -v -soak.seeds $(SEEDS) -soak.time $(SOAK_TIME) -soak.keep $(CURDIR)/.run/soak

# The quiet days of the users' sites, where their bench is beside the repository.
KIT ?= ../given/kit/more/system
FLEETBENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
JOBS ?= 3
WHY ?= quiet days

bench-quiet:
	for site in sites/furnir-katalog sites/kcbe-shared further/nidurfall-rounds; do \
		$(FLEETBENCH) run $(KIT)/$$site.toml quiet-1 --jobs $(JOBS) --why "$(WHY)" || exit 1; \
	done
