# Functions that start and stop the demo's processes. Other scripts source this file.

run_dir=${RUN_DIR:-run}
pids=()

# start NAME COMMAND...: runs a command in the background and writes its output to run_dir.
start() {
	local name=$1
	shift
	"$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
	pids+=($!)
}

# stop_all: terminates the processes in reverse order and waits for the last two, the
# entry instances of start_stack, so that they drain while their endpoints still run.
stop_all() {
	local pid
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		pid=${pids[i]}
		kill -TERM "$pid" 2>/dev/null || true
		if ((i >= ${#pids[@]} - 2)); then
			wait "$pid" 2>/dev/null || true
		fi
	done
	wait 2>/dev/null || true
}

# wait_for URL: waits up to about 20 s until a GET of the URL succeeds.
wait_for() {
	local url=$1 tries=0
	until curl -sf -o /dev/null "$url"; do
		tries=$((tries + 1))
		if ((tries > 200)); then
			echo "no successful response from $url; see the logs in $run_dir" >&2
			return 1
		fi
		sleep 0.1
	done
}

# entry_cpu: prints the CPU time used by entry-a1, in ticks of 10 ms.
entry_cpu() {
	awk '{print $14 + $15}' "/proc/$entry_pid/stat"
}

# engine_flags holds additional flags for every engine.
engine_flags=

# start_stack: starts the stand-ins, then two entry instances, and waits until both are ready.
start_stack() {
	mkdir -p "$run_dir"
	start log bin/standin log -listen 127.0.0.1:7001
	start directory bin/standin directory -listen 127.0.0.1:7002 -list examples/listing.yaml
	start rating bin/standin rating -listen 127.0.0.1:7003
	start engine-a1 bin/standin engine -listen 127.0.0.1:9001 -id engine-a1 -version returns@1 $engine_flags
	start engine-a2 bin/standin engine -listen 127.0.0.1:9002 -id engine-a2 -version returns@2 -poor-percent 5 $engine_flags
	start engine-b1 bin/standin engine -listen 127.0.0.1:9003 -id engine-b1 -version returns@1 $engine_flags
	start stock-a1 bin/standin service -listen 127.0.0.1:9004
	start entry-a1 bin/entry run -settings examples/entry-a1.yaml
	entry_pid=${pids[-1]}
	start entry-b1 bin/entry run -settings examples/entry-b1.yaml
	wait_for http://127.0.0.1:8101/readyz
	wait_for http://127.0.0.1:8102/readyz
}
