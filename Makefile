GO ?= go
BIN := bin

.PHONY: build test check format demo measure slopes generate clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

format:
	gofmt -w cmd internal

check:
	@test -z "$$(gofmt -l cmd internal)" || { gofmt -l cmd internal; echo "gofmt: files differ"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: check build
	$(GO) test -count=1 -p 4 ./...

demo: build
	$(BIN)/samphire-demo -bin $(BIN) -examples examples

measure: build
	$(BIN)/samphire-measure -bin $(BIN)

slopes: build
	$(BIN)/samphire-slopes -bin $(BIN)

generate:
	protoc --plugin=protoc-gen-go=$(BIN)/protoc-gen-go --go_out=. proto/samphirefork/v1/*.proto

clean:
	rm -rf $(BIN)
