BUILD ?= build
SEED ?= 1
SECONDS ?= 10

.PHONY: all setup build check run run-platform scenarios soak replay explore faults load fuzz bench capacity format lint clean

all: build

# Installs the Debian packages that are missing; does nothing when all are present.
setup:
	@missing=$$(for p in $$(cat packages.txt); do \
	  dpkg-query -W -f='$${Status}' $$p 2>/dev/null | grep -q 'ok installed' || echo $$p; done); \
	if [ -n "$$missing" ]; then \
	  apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q $$missing; fi

$(BUILD)/build.ninja: | setup
	meson setup $(BUILD) $(MESONFLAGS)

build: setup $(BUILD)/build.ninja
	ninja -C $(BUILD)

check: build
	tests/run-tests $(BUILD)

run: build
	python3 tests/system/run.py --build $(BUILD)

faults: build
	python3 tests/system/faults.py --build $(BUILD)

soak: build
	$(BUILD)/bench/soak --seed $(SEED) --seconds $(SECONDS)

# Gateways and rank agents as processes, stand-ins of the users' platform, and faults.
run-platform: build
	python3 tests/soak/soak.py --build $(BUILD) --seed $(SEED) --seconds $(SECONDS)

# Incidents of the users' platform, played against gateways and rank agents as processes.
scenarios: build
	python3 tests/soak/scenarios.py prompt-part --build $(BUILD) --seed $(SEED) --seconds 30
	python3 tests/soak/scenarios.py request --build $(BUILD) --seed $(SEED) --seconds 30
	python3 tests/soak/scenarios.py slow-readers --build $(BUILD) --seed $(SEED) --seconds 10
	python3 tests/soak/clientmemory.py --build $(BUILD)
	python3 tests/soak/clientheads.py --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py stream-request --build $(BUILD) --seed $(SEED) --seconds 25
	python3 tests/soak/scenarios.py limit --build $(BUILD) --seed $(SEED) --seconds 25 --callers 40
	python3 tests/soak/scenarios.py cold-upstreams --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py silent-poll --build $(BUILD) --seed $(SEED) --seconds 12
	python3 tests/soak/scenarios.py silent-poll-no-era --build $(BUILD) --seed $(SEED) --seconds 12
	python3 tests/soak/scenarios.py late-row --build $(BUILD) --seed $(SEED) --seconds 10
	python3 tests/soak/scenarios.py leaving-answers --build $(BUILD) --seed $(SEED) --seconds 10
	python3 tests/soak/scenarios.py retry-after --build $(BUILD) --seed $(SEED) --seconds 14
	python3 tests/soak/scenarios.py endless-streams --build $(BUILD) --seed $(SEED) --seconds 30 --callers 4
	python3 tests/soak/scenarios.py faulty-answers --build $(BUILD) --seed $(SEED) --seconds 15 --callers 24
	python3 tests/soak/scenarios.py event-ids --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py malformed-answers --build $(BUILD) --seed $(SEED) --seconds 15 --callers 24
	python3 tests/soak/scenarios.py zero-status --build $(BUILD) --seed $(SEED) --seconds 10 --callers 24
	python3 tests/soak/scenarios.py evacuation --build $(BUILD) --seed $(SEED) --callers 24
	python3 tests/soak/scenarios.py silent-poll-all --build $(BUILD) --seed $(SEED) --seconds 12
	python3 tests/soak/scenarios.py paused-stream --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py equal-callers --build $(BUILD) --seed $(SEED) --seconds 40
	python3 tests/soak/scenarios.py planned-stop --build $(BUILD) --seed $(SEED) --seconds 45 --callers 24
	python3 tests/soak/scenarios.py stop-limit --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py stop-end --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py odd-rows --build $(BUILD) --seed $(SEED)
	python3 tests/soak/scenarios.py restored --build $(BUILD) --seed $(SEED) --seconds 24

load: build
	python3 tests/system/load.py --build $(BUILD)

replay: build
	$(BUILD)/bench/burdock-replay traces/*.trace

explore: build
	$(BUILD)/bench/explore-switch --seed $(SEED)

FUZZ_SECONDS ?= 60
FUZZ_TARGETS ?= config event-stream http-framing maps message rows
FUZZ_PACKAGES = apr-1 glib-2.0 jansson libcurl libmicrohttpd libsodium msgpack yaml-0.1
FUZZ_FLAGS = -g -O1 -std=gnu11 -D_GNU_SOURCE -DBURDOCK_VERSION='"fuzz"' \
  -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
  -Ilibburdock -Idaemon -Iplatform

# Runs each target for FUZZ_SECONDS; new inputs stay in build/fuzz, crashes in the corpus.
fuzz: setup
	for t in $(FUZZ_TARGETS); do \
	  mkdir -p $(BUILD)/fuzz/$$t; \
	  clang $(FUZZ_FLAGS) $$(pkg-config --cflags $(FUZZ_PACKAGES)) \
	    fuzz/fuzz-$$t.c libburdock/*.c daemon/*.c platform/*.c -o $(BUILD)/fuzz/fuzz-$$t \
	    $$(pkg-config --libs $(FUZZ_PACKAGES)) -lm || exit 1; \
	  $(BUILD)/fuzz/fuzz-$$t -max_total_time=$(FUZZ_SECONDS) -print_final_stats=1 \
	    -artifact_prefix=fuzz/corpus/$$t/ $(BUILD)/fuzz/$$t fuzz/corpus/$$t || exit 1; \
	done

bench: build
	$(BUILD)/bench/bench

capacity: build
	$(BUILD)/bench/capacity

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

lint: build
	tests/lint $(BUILD)

clean:
	rm -rf build build-*
