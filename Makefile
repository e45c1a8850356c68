GO ?= go
BIN := bin
MODULE := github.com/samphirefork/samphirefork

.PHONY: build platform soak test check format demo measure slopes generate clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# What deploy/system.toml builds.
platform:
	$(GO) build -ldflags=-linkmode=external -o target/ ./platform/cmd/...

SEED ?= 1
SEEDS ?= 10
soak: platform
	$(GO) build -o target/ ./platform/soak/samphire-soak
	target/samphire-soak -bin target -seed $(SEED) -seeds $(SEEDS)

format:
	gofmt -w cmd internal platform

check:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; echo "gofmt: files differ"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Tests that KNOWN-RED.txt names in entries "Test: NAME" are passed over.
KNOWN_RED = $(shell sed -n 's/^[0-9. ]*Test: \(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
SKIP = $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
# Tests of crowds take thousands of ports and measure processes, so they run one at a time after all others.
CROWDS := $(MODULE)/internal/crowd $(MODULE)/platform/crowdtest
test: check build platform
	$(GO) test -count=1 -p 4 $(SKIP) $(filter-out $(CROWDS),$(shell $(GO) list ./...))
	$(GO) test -count=1 -p 1 $(SKIP) $(CROWDS)

demo: build
	$(BIN)/samphire-demo -bin $(BIN) -examples examples/carregaguia

measure: build
	$(BIN)/samphire-measure -bin $(BIN)

slopes: build
	$(BIN)/samphire-slopes -bin $(BIN)

generate:
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	protoc -I proto --plugin=$(BIN)/protoc-gen-go --plugin=$(BIN)/protoc-gen-connect-go \
		--go_out=. --go_opt=module=$(MODULE) \
		--connect-go_out=. --connect-go_opt=module=$(MODULE) \
		proto/samphirefork/v1/*.proto

clean:
	rm -rf $(BIN) target
