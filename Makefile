GO ?= go
PROTOS := $(wildcard internal/protocol/*/*.proto)

.PHONY: all build test demo lint generate slopes scale latency long fuzz soak upgrade

all: test

build:
	$(GO) build -o bin/ ./cmd/...

test: lint
	bash scripts/test.sh

demo: build
	bash scripts/demo.sh

lint:
	bash scripts/lint.sh

# Measures how the cost of membership grows with the fleet; takes a few minutes.
slopes: build
	bin/wigeon-slopes --output docs/slopes.csv

# Needs protoc, protoc-gen-go and protoc-gen-twirp (see CONTRIBUTING.md).
generate:
	for f in $(PROTOS); do \
		protoc --go_out=. --go_opt=paths=source_relative \
			--twirp_out=. --twirp_opt=paths=source_relative $$f || exit 1; \
	done

scale: build
	bash scripts/scale.sh

latency: build
	bash scripts/latency.sh

# Runs each fuzz test for a few seconds; FUZZ_SECONDS sets how long.
fuzz:
	bash scripts/fuzz.sh

# Runs the soak test with the seeds SEEDS (FIRST-LAST), PARALLEL fleets at a time.
SEEDS ?= 1-50
PARALLEL ?= 4
soak:
	WIGEONSPRING_SOAK=$(SEEDS) $(GO) test -count=1 -timeout 2h -parallel $(PARALLEL) -run TestSoak ./e2e

# Repeats the randomized tests with new seeds; ROUNDS sets how often.
long:
	bash scripts/long.sh

# Replaces the nodes of a fleet under load by this build and back; OLD is a folder with the
# programs of the old build.
upgrade: build
	OLD=$(OLD) bash scripts/upgrade.sh
