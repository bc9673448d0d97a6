# The door to every task. "make" lists them.

GO ?= go
BIN := bin
GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell $(GO) env GOPATH)/bin
GOLANGCI := $(GOBIN)/golangci-lint

.PHONY: help
help:
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

.PHONY: build
build: ## build the programs into bin
	$(GO) build -o $(BIN)/ ./cmd/...

.PHONY: demo
demo: build ## start a whole system on loopback and check each answer
	$(BIN)/sapphire-standin demo --bin $(BIN)

# Packages whose tests use rapid take its flags; the others don't know them.
RAPID_PACKAGES = $(shell $(GO) list -f '{{$$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$p}} {{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$$p}} {{end}}{{end}}' ./...)
PLAIN_PACKAGES = $(filter-out $(RAPID_PACKAGES),$(shell $(GO) list ./...))
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
SKIP = $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
RAPID_SEED := 20261204

.PHONY: test
test: build ## run all tests with the race detector and fixed seeds
	SAPPHIRE_BIN=$(CURDIR)/$(BIN) $(GO) test -race -count=1 $(SKIP) $(PLAIN_PACKAGES)
	$(if $(RAPID_PACKAGES),$(GO) test -race -count=1 $(SKIP) $(RAPID_PACKAGES) -rapid.seed=$(RAPID_SEED) -rapid.nofailfile)

CHAOS_REQUESTS := 10000
CHAOS_SEED := $(RAPID_SEED)

.PHONY: chaos
chaos: build ## break real processes under a longer load (CHAOS_REQUESTS, CHAOS_SEED)
	SAPPHIRE_BIN=$(CURDIR)/$(BIN) CHAOS_REQUESTS=$(CHAOS_REQUESTS) CHAOS_SEED=$(CHAOS_SEED) $(GO) test -race -count=1 -v -timeout 30m ./internal/standin/chaos

.PHONY: mutants
mutants: ## break the system on purpose and check that a named test notices
	$(GO) run ./internal/mutant $(foreach package,$(RAPID_PACKAGES),--rapid=$(package)) --flags=-rapid.seed=$(RAPID_SEED),-rapid.nofailfile

FUZZ_MINUTES := 10

.PHONY: fuzz
fuzz: ## run every test that uses rapid with random seeds for FUZZ_MINUTES
	$(GO) run ./internal/fuzz --minutes=$(FUZZ_MINUTES) --skip='$(KNOWN_RED)' $(RAPID_PACKAGES)

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
.PHONY: slopes
slopes: build ## measure what docs/CAPACITY.md is worked out from
	$(BIN)/sapphire-standin slopes --bin $(BIN)
	$(BIN)/sapphire-standin node-slopes
