# Targets for building, running and checking egretlane. `make test` is what CI runs.

MODULES := . egretlane egretctl egretlab
BIN := $(CURDIR)/.bin
LINT := $(BIN)/golangci-lint

.PHONY: all build test check format lint unit generate demo demo-platform up measure soak mutants clean

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./egretlane ./egretctl ./egretlab

test: format lint build unit

format: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt --diff) || exit 1; done

lint: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) run ./...) || exit 1; done

unit:
	@./scripts/unit $(MODULES)

$(LINT): tools/go.mod
	@mkdir -p $(BIN)
	cd tools && GOWORK=off go build -o $(LINT) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# generate needs protoc (Debian: protobuf-compiler). Its output is committed.
generate:
	cd tools/gen && GOWORK=off go build -o $(BIN)/ github.com/google/wire/cmd/wire \
		google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(BIN):$$PATH protoc --go_out=. --go_opt=module=egretlane.example/egret \
		--go-grpc_out=. --go-grpc_opt=module=egretlane.example/egret internal/*/*.proto
	cd egretlane && $(BIN)/wire

demo: build
	@./scripts/demo

# demo-platform plays a failover, a change of the configuration and a planned stop under load, before
# the stand-ins of the platform.
demo-platform: build
	$(BIN)/egretlab experiment --folder .run/demo-platform example/demo-platform.yaml

up: build
	@./scripts/up

# measure drives a set with a deployment's sizes. DEPLOYMENT, LAG, DURATION, SEED, POLICY, FAILURE,
# FAILURES, STORE, SLOW_PRIMARIES, COST and FORMAT stand for the flags of `egretlab measure`.
MEASURE_FLAGS = $(foreach v,LAG DURATION SEED POLICY FAILURE FAILURES STORE SESSIONS THINK FORMAT,\
	$(if $($(v)),--$(shell echo $(v) | tr A-Z a-z) $($(v)))) \
	$(if $(SLOW_PRIMARIES),--slow-primaries $(SLOW_PRIMARIES)) $(if $(COST),--cost)

measure: build
	@DEPLOYMENT=$(DEPLOYMENT) FLAT=$(FLAT) ./scripts/measure $(MEASURE_FLAGS)

# soak runs proxies under faults on the stand-ins. SEED, SEEDS and LENGTH stand for the flags of
# `egretlab soak`. mutants checks that it finds mechanisms that are broken on purpose.
soak: build
	$(BIN)/egretlab soak $(foreach v,SEED SEEDS LENGTH,$(if $($(v)),--$(shell echo $(v) | tr A-Z a-z) $($(v))))

mutants: build
	@./scripts/mutants

clean:
	rm -rf .bin .run .out
