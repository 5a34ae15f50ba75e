# Functions that start a cluster of real processes on loopback, check what it does and stop it. Sourced by scripts/demo and
# scripts/faults, which set: build (build folder), client, folder (scratch folder), base_port, failures and pid_of.
# shellcheck shell=bash

say() { printf '%s\n' "$*"; }
ok() { say "  ok      $*"; }
bad() {
    say "  FAILED  $*"
    failures=$((failures + 1))
}
# check DESCRIPTION COMMAND...: the command must succeed.
check() {
    local what=$1
    shift
    if "$@" > "$work/last.out" 2>&1; then ok "$what"; else
        bad "$what"
        sed 's/^/          /' "$work/last.out" | head -5
    fi
}
# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
    local tries=$(($1 * 10))
    shift
    for ((i = 0; i < tries; i++)); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}

launch() { # NAME PROGRAM ARGUMENT...
    local name=$1
    shift
    "$@" > "$work/$name.out" 2>&1 &
    pid_of[$name]=$!
}
# stop_group NAME...: SIGTERM to the named processes; each must exit 0.
stop_group() {
    local name code
    for name in "$@"; do kill -TERM "${pid_of[$name]}" 2>/dev/null; done
    for name in "$@"; do
        wait "${pid_of[$name]}"
        code=$?
        unset "pid_of[$name]"
        [ $code -eq 0 ] || {
            bad "$name exited $code"
            tail -2 "$work/$name.out"
        }
    done
}
kill_rest() {
    local name
    for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}" 2>/dev/null; done
    # Collecting them here keeps the shell from reporting each one.
    for name in "${!pid_of[@]}"; do wait "${pid_of[$name]}" 2>/dev/null; done
    pid_of=()
}
trap 'kill_rest; rm -rf "$folder"' EXIT

next_port=$base_port
port() { # sets the variable named $1
    printf -v "$1" '127.0.0.1:%d' "$next_port"
    next_port=$((next_port + 1))
}

write_common() { # NAME DATA_CENTRE ROLE
    printf 'role = "%s"\nname = "%s"\ndata_centre = "%s"\nlog_file = "%s"\n' "$3" "$1" "$2" "$work/log/$1.log"
}
as_list() { # "a","b"
    local text=""
    for item in "$@"; do text="$text${text:+, }\"$item\""; done
    printf '[%s]' "$text"
}

start_controls() {
    local i
    control_frames=()
    control_http=()
    for i in 1 2 3; do
        port frames
        port http
        control_frames+=("$frames")
        control_http+=("$http")
    done
    for i in 1 2 3; do
        mkdir -p "$work/data/control-$i"
        {
            write_common "control-$i" "${data_centres[$((i - 1))]}" control
            printf '\n[control]\nreplica = %d\ndata_folder = "%s"\nlisten = "%s"\nhttp = "%s"\n' "$i" \
                "$work/data/control-$i" "${control_frames[$((i - 1))]}" "${control_http[$((i - 1))]}"
            for j in 1 2 3; do
                printf '\n[[control.peer]]\nreplica = %d\nlisten = "%s"\nhttp = "%s"\n' "$j" \
                    "${control_frames[$((j - 1))]}" "${control_http[$((j - 1))]}"
            done
        } > "$work/control-$i.toml"
        launch "control-$i" "$build/bin/poplardeald" --settings "$work/control-$i.toml" --bootstrap
    done
    POPLARDEAL_CONTROL=$(IFS=,; echo "${control_http[*]}")
    export POPLARDEAL_CONTROL
}

start_entries() {
    local i
    entry_frames=()
    entry_http=()
    for i in 1 2; do
        port frames
        port http
        entry_frames+=("$frames")
        entry_http+=("$http")
        {
            write_common "entry-$i" "${data_centres[$((i - 1))]}" entry
            printf '\n[entry]\nhttp = "%s"\nlisten = "%s"\ncontrols = %s\n' "$http" "$frames" \
                "$(as_list "${control_frames[@]}")"
        } > "$work/entry-$i.toml"
        launch "entry-$i" "$build/bin/poplardeald" --settings "$work/entry-$i.toml"
    done
    POPLARDEAL_ENTRY=$(IFS=,; echo "${entry_http[*]}")
    export POPLARDEAL_ENTRY
}

start_workers() {
    worker_names=()
    local pool data_centre rack count cores memory accelerators name i
    while read -r data_centre rack count cores memory accelerators; do
        for ((i = 1; i <= count; i++)); do
            name="$rack-w$i"
            worker_names+=("$name")
            port http
            launch "$name" "$build/bin/poplardeal-standin-worker" --listen "$http" --cores "$cores" \
                --memory_mib $((memory * 1024)) --accelerators "$accelerators" --time_scale "$time_scale" \
                --checkpoint_folder "$work/checkpoints" --name "$name" --ledger "$work/$name.ledger"
            {
                write_common "$name" "$data_centre" sidecar
                printf '\n[sidecar]\nbeside = "worker"\ntarget = "%s"\nrack = "%s"\ncontrols = %s\n' "$http" "$rack" \
                    "$(as_list "${control_frames[@]}")"
            } > "$work/$name.toml"
            launch "$name-sidecar" "$build/bin/poplardeald" --settings "$work/$name.toml"
        done
    done < <(awk -F' = ' '/^\[\[/ { pool = ($1 == "[[worker_pool]]"); if (pool) n++; next }
        pool && NF == 2 { gsub(/"/, "", $2); v[n, $1] = $2 }
        END { for (i = 1; i <= n; i++) print v[i, "data_centre"], v[i, "rack"], v[i, "workers"], v[i, "cores"], v[i, "memory_gib"], v[i, "accelerators"] }' "$work/plan.toml")
}

start_runners() {
    runner_names=()
    local i name data_centre
    for i in $(seq 1 11); do
        name="runner-$i"
        runner_names+=("$name")
        data_centre=${data_centres[$((i % 3))]}
        port http
        launch "$name" "$build/bin/poplardeal-standin-runner" --listen "$http" --slots 8 --delay_ms 300 \
            --ledger "$work/$name.ledger"
        {
            write_common "$name" "$data_centre" sidecar
            printf '\n[sidecar]\nbeside = "endpoint"\ntarget = "%s"\nservice = "%s"\nslots = 8\nconnections = 64\nentries = %s\ncontrols = %s\n' \
                "$http" "$service" "$(as_list "${entry_frames[@]}")" "$(as_list "${control_frames[@]}")"
        } > "$work/$name.toml"
        launch "$name-sidecar" "$build/bin/poplardeald" --settings "$work/$name.toml"
    done
}

job_field() { # JOB FIELD
    "$client" status "$1" --json 2>/dev/null | grep -o "\"$2\":\"[^\"]*\"" | head -1 | cut -d'"' -f4
}
phase_is() { [ "$(job_field "$1" phase)" = "$2" ]; }
tasks_running() { # JOB COUNT
    [ "$("$client" status "$1" --json 2>/dev/null | grep -o '"running":true' | wc -l)" -eq "$2" ]
}
workers_of() { "$client" status "$1" --json | grep -o '"worker":"[^"]*"' | cut -d'"' -f4 | sort -u; }
workers_online() { [ "$("$client" status --json 2>/dev/null | grep -o '"state":"online"' | wc -l)" -eq "$1" ]; }
clients_hold_version() { # COUNT
    "$client" status --json 2>/dev/null | grep -q "\"clients\":$1,\"clients_at_version\":$1,"
}
leader_is_known() { [ -n "$(leader_name)" ]; }
leader_name() {
    local i
    for i in 1 2 3; do
        [ -n "${pid_of[control-$i]:-}" ] || continue
        "$client" status --json --control "${control_http[$((i - 1))]}" 2>/dev/null | grep -q '"role":"leader"' && echo "control-$i"
    done
}
submit() { # WORKSPACE JOB: prints the id
    "$client" submit "$1" "$2" --json | grep -o '"id":[0-9]*' | cut -d: -f2
}
call_echoes() { [ "$("$client" call "$service" /echo --method POST --data "$1" 2>/dev/null)" = "$1" ]; }
runs_with_key() { cat "$work"/runner-*.ledger 2>/dev/null | grep -c "\"$1\""; }
starts_in() { cat "$work/$1"-*.ledger 2>/dev/null | grep -c '"start"'; }
job_is_known() { [ -n "$(job_field "$1" phase)" ]; }
moved_from() { # JOB DATA_CENTRE: all its tasks run, none of them there
    tasks_running "$1" 2 && ! workers_of "$1" | grep -q "^$2-"
}
