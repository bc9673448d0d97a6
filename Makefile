# The door to every task. "make" lists them.

GO ?= go
BIN := bin
GOLANGCI_VERSION := v2.15.0
# The version of the programs; "development" outside a git checkout.
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo development)
GOBIN := $(shell $(GO) env GOPATH)/bin
GOLANGCI := $(GOBIN)/golangci-lint

.PHONY: help
help:
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

.PHONY: build
build: ## build the programs into bin
	$(GO) build -ldflags '-X sapphirehead/internal/program.Version=$(VERSION)' -o $(BIN)/ ./cmd/...

.PHONY: demo
demo: build ## start a whole system on loopback and check each answer
	$(BIN)/sapphire-standin demo --bin $(BIN)

# Packages whose tests use rapid take its flags; the others don't know them.
RAPID_PACKAGES = $(shell $(GO) list -f '{{$$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$p}} {{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$$p}} {{end}}{{end}}' ./...)
MATRIX := ./internal/faultmatrix
# Plays of an overload in one goroutine take minutes with the race detector. The tests of
# concurrent use run with it.
PLAYS := ./internal/admission
PLAIN_PACKAGES = $(filter-out $(RAPID_PACKAGES) %/internal/faultmatrix %/internal/admission,$(shell $(GO) list ./...))
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
SKIP = $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
RAPID_SEED := 20261204

.PHONY: test
test: build ## run all tests with the race detector and fixed seeds
	SAPPHIRE_BIN=$(CURDIR)/$(BIN) $(GO) test -race -count=1 $(SKIP) $(PLAIN_PACKAGES)
	$(GO) test -count=1 $(SKIP) $(MATRIX) $(PLAYS)
	$(GO) test -race -count=1 -run ConcurrentUse $(PLAYS)
	$(if $(RAPID_PACKAGES),$(GO) test -race -count=1 $(SKIP) $(RAPID_PACKAGES) -rapid.seed=$(RAPID_SEED) -rapid.nofailfile)

.PHONY: matrix
matrix: ## run every fault at every step, alone and by twos, and write the result into docs/PROOF.md
	MATRIX_PAGE=$(CURDIR)/docs/PROOF.md $(GO) test -count=1 $(SKIP) $(MATRIX)

CHAOS_REQUESTS := 10000
CHAOS_SEED := $(RAPID_SEED)

.PHONY: chaos
chaos: build ## break real processes under a longer load (CHAOS_REQUESTS, CHAOS_SEED)
	SAPPHIRE_BIN=$(CURDIR)/$(BIN) CHAOS_REQUESTS=$(CHAOS_REQUESTS) CHAOS_SEED=$(CHAOS_SEED) $(GO) test -race -count=1 -v -timeout 30m ./internal/standin/chaos

SOAK_SEED := 3000
SOAK_RUNS := 50
SOAK_SECONDS := 8

.PHONY: soak
soak: build ## break real edge processes in SOAK_RUNS seeded orders from SOAK_SEED, SOAK_SECONDS each
	SAPPHIRE_BIN=$(CURDIR)/$(BIN) SOAK_SEED=$(SOAK_SEED) SOAK_RUNS=$(SOAK_RUNS) SOAK_SECONDS=$(SOAK_SECONDS) \
		$(GO) test -race -count=1 -v -timeout 60m ./internal/standin/soak

CROWD_FACTOR := 1

.PHONY: crowd
crowd: build ## play crowds of clients that are not controlled, CROWD_FACTOR times as large as in the tests
	SAPPHIRE_BIN=$(CURDIR)/$(BIN) CROWD_FACTOR=$(CROWD_FACTOR) $(GO) test -count=1 -v -timeout 30m ./internal/standin/crowd

.PHONY: mutants
mutants: ## break the system on purpose and check that a named test notices
	$(GO) run ./internal/mutant $(foreach package,$(RAPID_PACKAGES),--rapid=$(package)) --flags=-rapid.seed=$(RAPID_SEED),-rapid.nofailfile

FUZZ_MINUTES := 10

.PHONY: fuzz
fuzz: ## run every test that uses rapid with random seeds for FUZZ_MINUTES
	$(GO) run ./internal/fuzz --minutes=$(FUZZ_MINUTES) --skip='$(KNOWN_RED)' $(RAPID_PACKAGES)

FUZZ_TIME := 20s

.PHONY: fuzznative
fuzznative: ## feed bad input to every decoder, each for FUZZ_TIME
	@set -e; for file in $$(grep -rl '^func Fuzz' --include='*_test.go' internal platform); do \
		for name in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$file); do \
			echo "$$name in $$(dirname $$file)"; \
			$(GO) test ./$$(dirname $$file) -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZ_TIME); \
		done; \
	done

.PHONY: lint
lint: $(GOLANGCI) ## check format and code
	$(GOLANGCI) run ./...

.PHONY: format
format: $(GOLANGCI) ## format the code
	$(GOLANGCI) fmt ./...

$(GOLANGCI):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

.PHONY: generate
generate: ## rebuild the committed protobuf code
	$(GO) install github.com/bufbuild/buf/cmd/buf@v1.75.0
	$(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	PATH="$(GOBIN):$$PATH" $(GOBIN)/buf generate

.PHONY: measure
measure: build ## compare the policy with plain ones in virtual time, 20 seeds
	$(BIN)/sapphire-measure --by-kind

BENCH_PACKAGES := ./internal/runner ./internal/caller ./internal/table
PROFILE := $(BIN)/profile

.PHONY: bench
bench: build ## time decisions on 1 and 10 threads, look for lock contention, measure the overhead of a token
	$(GO) test -run '^$$' -bench . -cpu 1,10 $(BENCH_PACKAGES)
	mkdir -p $(PROFILE)
	for package in $(BENCH_PACKAGES); do \
		name=$(PROFILE)/$$(basename $$package); \
		$(GO) test -run '^$$' -bench . -cpu 10 -mutexprofile $$name.mutex -o $$name.test $$package >/dev/null && \
		echo "lock contention in $$package (sync.Mutex of ours would be listed here):" && \
		$(GO) tool pprof -top -nodecount=8 $$name.test $$name.mutex 2>/dev/null | tail -n +4 || exit 1; \
	done
	$(BIN)/sapphire-standin overhead --bin $(BIN)

.PHONY: slopes
slopes: build ## measure what docs/CAPACITY.md is worked out from
	$(BIN)/sapphire-standin slopes --bin $(BIN)

.PHONY: measurefleet
measurefleet: ## compare ways of renting hosts in virtual time
	$(GO) run ./internal/measure/fleet

.PHONY: stewardslopes
stewardslopes: build ## measure what a steward costs
	$(BIN)/sapphire-standin steward-slopes --bin $(BIN)
	$(BIN)/sapphire-standin node-slopes
