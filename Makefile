BUILD ?= build
CC := gcc
CXX := g++
PYTHON := /usr/bin/python3
PACKAGES := gcc g++ make pkg-config libglib2.0-dev libzmq3-dev libsoup-3.0-dev libjson-glib-dev \
	libprotobuf-c-dev libyaml-dev libargtable2-dev libgtest-dev python3 python3-yaml \
	python3-pytest clang-format clang-tidy clang libclang-rt-14-dev valgrind spin
PKGS := glib-2.0 gio-2.0 gio-unix-2.0 libzmq libsoup-3.0 json-glib-1.0 libprotobuf-c yaml-0.1
comma := ,
OPT ?= -O2 -g
SAN := $(if $(SANITIZE),-fsanitize=address$(comma)undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
ifneq ($(SANITIZE),)
BUILD := build-sanitize
endif
WARN := -Wall -Wextra -Werror -Wshadow
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null | sed 's/-I/-isystem /g')
CPPFLAGS = -Iliblug -Iplatform $(PKG_CFLAGS) -D_GNU_SOURCE
CFLAGS = -std=gnu11 $(OPT) $(WARN) -Wstrict-prototypes -Wmissing-prototypes $(SAN)
CXXFLAGS = -std=gnu++17 $(OPT) $(WARN) $(SAN)
LIBS = $(shell pkg-config --libs $(PKGS)) -largtable2 -lm $(SAN)

LIB_SRC := $(wildcard liblug/*/*.c)
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/liblug.a
PLATFORM_SRC := $(wildcard platform/*.c)
PLATFORM_OBJ := $(PLATFORM_SRC:%.c=$(BUILD)/%.o)
PROGRAMS := $(BUILD)/catkinlug-entryd $(BUILD)/catkinlug-agentd $(BUILD)/catkinlug
STANDINS := $(patsubst tests/standin/%.c,$(BUILD)/standin-%,$(wildcard tests/standin/*.c))
UNIT_SRC := $(wildcard tests/unit/*.cc)
UNIT_OBJ := $(UNIT_SRC:%.cc=$(BUILD)/%.o)
UNIT := $(BUILD)/unit-tests
FORMATTED := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard liblug/*/*.[ch] cli/*.[ch] platform/*.[ch] \
	tests/standin/*.[ch] tests/unit/*.cc tests/unit/*.h tests/fuzz/*.c tests/bench/*.c))
LINTED := $(filter %.c,$(filter-out tests/%,$(FORMATTED)))

all: $(LIB) $(PROGRAMS) $(STANDINS) ## build the library, the programs and the stand-ins

daemons: $(BUILD)/catkinlug-entryd $(BUILD)/catkinlug-agentd ## build the daemons alone

help: ## show the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | sort | expand -t 16

deps: ## install what the build and the tests need, where it is missing
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -q && \
	 DEBIAN_FRONTEND=noninteractive apt-get install -qy --no-install-recommends $(PACKAGES); }

$(LIB): $(LIB_OBJ)
	@rm -f $@ && ar rcs $@ $^

$(BUILD)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	@$(CC) -std=gnu11 $(OPT) $(SAN) $(CPPFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CFLAGS) $(CPPFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@$(CXX) $(CXXFLAGS) -Itests/unit $(CPPFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/catkinlug: $(BUILD)/cli/catkinlug.o $(LIB)
	@$(CC) -o $@ $^ $(LIBS)

$(BUILD)/catkinlug-%: $(BUILD)/cli/%.o $(PLATFORM_OBJ) $(LIB)
	@$(CC) -o $@ $^ $(LIBS)

$(BUILD)/standin-%: $(BUILD)/tests/standin/%.o $(LIB)
	@$(CC) -o $@ $^ $(LIBS)

$(UNIT): $(UNIT_OBJ) $(PLATFORM_OBJ) $(LIB)
	@$(CXX) -o $@ $^ -lgtest -lgtest_main -lpthread $(LIBS)

generate: ## regenerate inner.pb-c.[ch] from inner.proto
	cd liblug/wire && protoc-c --c_out=. inner.proto

format: ## format the sources
	@clang-format -i $(FORMATTED)

lint: ## check the format of all C and C++ sources; run clang-tidy on those outside tests/
	@clang-format --dry-run -Werror $(FORMATTED)
	@printf '%s\n' $(LINTED) | xargs -P 8 -n 2 sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 \
	 $(CPPFLAGS) 2>/dev/null' sh

check: deps ## install what is missing, build, run the unit and integration tests
	@$(MAKE) --no-print-directory -j8 BUILD=$(BUILD) OPT="$(OPT)" all $(UNIT)
	@BUILD=$(BUILD) $(PYTHON) tests/rig/check.py

EXAMPLE ?= lemnaria
SEED ?= 1
run: deps ## run an example under about 20 s of mixed load (EXAMPLE=lemnaria|trials SEED=n)
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/rig/run_example.py --example $(EXAMPLE) --seed $(SEED)

up: deps ## start an example and keep it running until interrupted
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/rig/up.py --example $(EXAMPLE)

FAULTS ?=
DURATION_S ?= 30
fault: deps ## test an example under faults (SEED=n FAULTS=a,b DURATION_S=s EXAMPLE=lemnaria|trials)
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/rig/fault.py --seed $(SEED) --faults "$(FAULTS)" --duration $(DURATION_S) \
	 --example $(EXAMPLE)

fault-list: ## name the faults
	@$(PYTHON) tests/rig/fault.py --list

fault-selftest: ## test that each rule of the checker reports a modified history
	@$(PYTHON) -m pytest -q -p no:cacheprovider tests/integration/test_checker.py

fault-campaign: deps ## run make fault for 20 seeds of each example and count the faults
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/rig/campaign.py

SEEDS ?= 1
soak: deps ## run the queue daemons under random faults, for SEEDS seeds starting with SEED
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/rig/soak.py --seed $(SEED) --seeds $(SEEDS)

FUZZ_RUNS ?= 300000
FUZZ := build-fuzz/fuzz
fuzz: deps ## fuzz the decoders of external input under sanitizers
	@$(MAKE) --no-print-directory -j8 $(FUZZ)
	@mkdir -p run/fuzz && $(FUZZ) -seed=1 -runs=$(FUZZ_RUNS) -max_len=4096 -print_final_stats=1 \
	 -artifact_prefix=run/fuzz/ run/fuzz tests/fuzz/corpus 2>run/fuzz.log && \
	 grep -E 'number_of_executed|DONE' run/fuzz.log || { tail -40 run/fuzz.log; exit 1; }

FUZZ_PLATFORM := platform/encoding.c platform/job.c platform/config.c

$(FUZZ): $(LIB_SRC) $(FUZZ_PLATFORM) tests/fuzz/fuzz.c
	@mkdir -p $(@D)
	@clang -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined $(CPPFLAGS) -o $@ \
	 $(filter-out liblug/daemon/% liblug/client/%,$(LIB_SRC)) $(FUZZ_PLATFORM) \
	 tests/fuzz/fuzz.c \
	 $(shell pkg-config --libs $(PKGS)) -lm

model: deps ## check the claim protocol exhaustively, and that the check fails without each rule
	@$(PYTHON) tests/model/check.py

slopes: deps ## measure CPU, memory and traffic of each kind of daemon at growing numbers of agents
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/bench/slopes.py

capacity: ## make the tables of docs/CAPACITY.md from the measurement
	@$(PYTHON) tests/bench/capacity.py

QUICK ?=
bench: deps ## measure scheduling under load against baselines (QUICK=1 SEED=n)
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/bench/bench.py --seed $(SEED) $(if $(QUICK),--quick)

bench-hop: deps ## measure the CPU time and latency that the entry adds to a request
	@$(MAKE) --no-print-directory -j8 all
	@$(PYTHON) tests/bench/hop.py

clean: ## remove what was built
	rm -rf build build-sanitize build-fuzz

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
.PHONY: all daemons help deps generate format lint check run up fault fault-list fault-selftest fault-campaign soak fuzz model slopes capacity bench bench-hop clean
.SECONDARY:
