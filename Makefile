PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = packages/chestnutshunt packages/chestnutshunt-daemon \
	packages/chestnutshunt-cli packages/chestnutshunt-standins platform

.PHONY: setup lint format test proto demo capacity bench faults

$(VENV)/ready: constraints.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation \
		$(addprefix -e ,$(PACKAGES))
	touch $@

setup: $(VENV)/ready

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform tests examples benchmarks

format: setup
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

test: setup
	$(BIN)/python -m pytest

proto: setup
	$(BIN)/pip install -q -c constraints.txt grpcio-tools
	$(BIN)/python -m grpc_tools.protoc -I proto \
		--python_out=packages/chestnutshunt-daemon \
		--grpc_python_out=packages/chestnutshunt-daemon \
		proto/chestnutshunt_daemon/wire/peer.proto \
		proto/chestnutshunt_daemon/wire/fleet.proto

demo: setup
	$(BIN)/python -m examples.demo

bench: setup
	$(BIN)/python -m benchmarks.overhead
	$(BIN)/python -m benchmarks.storm

capacity: setup
	$(BIN)/python -m benchmarks.capacity
	$(BIN)/python -m benchmarks.fleet

faults: setup
	$(BIN)/python -m benchmarks.fault_matrix
