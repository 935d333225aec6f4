# Targets of the project. `make test` is what CI runs.
SHELL := /bin/bash
TOOL  := go tool -modfile=tools/go.mod

.PHONY: run test check generate bench mutants

run: ## the demonstration: a whole fleet on loopback
	go run ./cmd/pearshelf-bench

test: check
	scripts/test.sh

check: ## formatter, vet, linter, generated code
	@test -z "$$(gofmt -l . | tee /dev/stderr)" || { echo "run gofmt -w on the files above"; exit 1; }
	go vet ./...
	$(TOOL) staticcheck ./...
	scripts/generated.sh

generate: ## protocol code from internal/api
	$(TOOL) buf generate

bench: ## measurements of docs/MEASUREMENTS.md and docs/CAPACITY.md
	scripts/measure.sh

mutants: ## tests must fail without the mechanism that they prove
	scripts/mutants.sh
