BUILD ?= build

.PHONY: all deps configure build test demo soak faults bench capacity style format clean

all: build

deps:
	@scripts/install-packages

configure: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS_RELEASE="-O3 -DNDEBUG -g1" > $(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }
	@rm -f $(BUILD).configure.log

build: configure
	@ninja -C $(BUILD)

test: build
	@scripts/run-tests $(BUILD)

demo: build
	@scripts/demo $(BUILD)

soak: build
	@scripts/soak $(BUILD)

faults: build
	@scripts/faults $(BUILD)

capacity: build
	@scripts/measure-capacity $(BUILD)

bench: build
	@scripts/run-benches $(BUILD)

style: configure
	@scripts/check-style $(BUILD)

format:
	@scripts/check-style --fix

clean:
	@rm -rf $(BUILD)
