#!/usr/bin/env bash
# End-to-end demo on loopback: a log, nodes, targets, bad input, a publish, two moves under load and
# graceful stops. The system picks every port. Exits with status 1 when a check fails.
set -u
cd "$(dirname "$0")/.."
bin=${BULRUSHFLOW_BIN:-.venv/bin}
run=${BULRUSHFLOW_DEMO_DIRECTORY:-run/demo}
rm -rf "$run" && mkdir -p "$run"
declare -A node_pid_by_number=() target_pid_by_number=()
log_pid=
load_pids=()
caller_urls=()
target_urls=()
operator_url=
failures=0

fail() { # MESSAGE
    echo "FAILED: $1"
    failures=$((failures + 1))
}

stop() { # PID WHAT
    kill -TERM "$1" 2>/dev/null
    wait "$1" || fail "$2 ended with status $?"
}

drain_and_stop() { # NUMBER: drains the target and stops its node; the target keeps its run records
    local url=${target_urls[$((2 * $1 - 1))]}
    "$bin/python" -c 'import sys, urllib.request as r; r.urlopen(sys.argv[1], b"")' \
        "$url/control/drain" >/dev/null || fail "target $1 did not drain"
    stop "${node_pid_by_number[$1]}" "node $1"
    unset "node_pid_by_number[$1]"
}

stop_all() { # stops the processes that this script started
    [ ${#load_pids[@]} -gt 0 ] && kill -TERM "${load_pids[@]}" 2>/dev/null
    [ ${#target_pid_by_number[@]} -gt 0 ] && kill -TERM "${target_pid_by_number[@]}" 2>/dev/null
    for number in "${!target_pid_by_number[@]}"; do
        wait "${target_pid_by_number[$number]}" || fail "target $number ended with status $?"
    done
    [ ${#node_pid_by_number[@]} -gt 0 ] && kill -TERM "${node_pid_by_number[@]}" 2>/dev/null
    for number in "${!node_pid_by_number[@]}"; do
        wait "${node_pid_by_number[$number]}" || fail "node $number ended with status $?"
    done
    [ -n "$log_pid" ] && stop "$log_pid" "the log"
    target_pid_by_number=() node_pid_by_number=() load_pids=() log_pid=
}
trap stop_all EXIT

wait_for_line() { # FILE PATTERN PID: prints the first matching line; fails after 30 s or when PID ends
    for _ in $(seq 300); do
        grep -m 1 "$2" "$1" 2>/dev/null && return
        kill -0 "$3" 2>/dev/null || { echo "process $3 ended before '$2' was in $1" >&2; return 1; }
        sleep 0.1
    done
    echo "no line with '$2' in $1 after 30 s" >&2
    return 1
}

start_log() {
    "$bin/bulrushflow-standin-log" 2>"$run/log.log" &
    log_pid=$!
    log_url=http://$(wait_for_line "$run/log.log" 'listens on' "$log_pid" | grep -o '127[0-9.]*:[0-9]*') || exit 1
}

write_settings() { # FILE NODE_ID DATA_CENTRE
    cat >"$1" <<SETTINGS
{
    // Written by scripts/demo.sh; the system picks each port that is 0.
    "node_id": "$2", "data_centre": "$3", "address": "127.0.0.1",
    "caller_port": 0, "peer_port": 0, "target_port": 0, "operator_port": 0,
    "platform": {"url": "$log_url"},
}
SETTINGS
}

start_pair() { # NUMBER DATA_CENTRE SERVICE VERSION [BEHAVIOUR]
    write_settings "$run/node-$1.json" "$2-$1" "$2"
    "$bin/bulrushflow-node" "$run/node-$1.json" 2>"$run/node-$1.log" &
    node_pid_by_number[$1]=$!
    local ports port
    ports=$(wait_for_line "$run/node-$1.log" 'node listens on' "${node_pid_by_number[$1]}") || exit 1
    port() { sed -E "s/.*$1 ([0-9]+).*/\1/" <<<"$ports"; }
    caller_urls+=(--node "http://127.0.0.1:$(port callers)")
    operator_url=${operator_url:-http://127.0.0.1:$(port operators)}
    "$bin/bulrushflow-standin-target" --service "$3" --version "$4" --seed "$1" \
        --node "http://127.0.0.1:$(port target)" --behaviour "${5:-{\}}" 2>"$run/target-$1.log" &
    target_pid_by_number[$1]=$!
    port=$(wait_for_line "$run/target-$1.log" 'listens on' "${target_pid_by_number[$1]}") || exit 1
    target_urls+=(--target "http://$(grep -o '127[0-9.]*:[0-9]*' <<<"$port")")
}

wait_members() { # COUNT: waits until the first node has COUNT ready targets in its member table
    for _ in $(seq 60); do
        [ "$("$bin/bulrushflow" status 2>/dev/null | grep -c 'alive .* ready')" -ge "$1" ] && return
        sleep 0.1
    done
    echo "fewer than $1 ready targets after 60 polls"
    exit 1
}

expect() { # STATUS TEXT COMMAND...: checks the exit status, and that the output contains TEXT
    local status=$1 text=$2 output
    shift 2
    output=$("$@" 2>&1)
    local actual=$?
    echo "  status $actual: $(tail -n 1 <<<"$output")"
    [ "$actual" -eq "$status" ] && grep -qF -- "$text" <<<"$output" ||
        fail "expected status $status and '$text', got status $actual from: $*"
}

load() { # SECONDS SEED OUTPUT CALLER_URLS...
    local seconds=$1 seed=$2 output=$3
    shift 3
    "$bin/bulrushflow-load" "$@" "${target_urls[@]}" --rate 120 --seconds "$seconds" --seed "$seed" \
        --idempotent-path /statements/7 --path /statements/7 --path /statements/yearly/7 --path /payments/7 >"$output" 2>"$output.err"
}

summarize() { # NAME OUTPUT: prints the counts, and checks those that must be 0
    local line="$1:" name value
    for name in calls answered errors not_run unknown lost doubled crossed cut false_not_run; do
        value=$(grep -o "\"$name\":[0-9]*" "$2" | head -n 1 | cut -d: -f2)
        line+=" $name ${value:-?}"
        case $name in
            lost | doubled | crossed | cut | false_not_run)
                [ "${value:-?}" = 0 ] || fail "$1: $name is ${value:-?}, expected 0" ;;
        esac
    done
    echo "$line"
}

start_log
export BULRUSHFLOW_LOG=$log_url
start_pair 1 celje-a statements v1
start_pair 2 celje-a payments v1
start_pair 3 celje-b statements v1
start_pair 4 celje-b payments v1
start_pair 5 velenje statements v1
start_pair 6 velenje payments v1
export BULRUSHFLOW_NODE=$operator_url
wait_members 6

echo "bad input:"
echo '{"node_id": "x", "caller_port": "y", "surplus": 1}' >"$run/bad-settings.json"
echo '{"services": {' >"$run/bad-json.json"
echo '{"routes": {"/dues": {"service": "dues"}}}' >"$run/dangling.json"
echo '{"schema": 99}' >"$run/schema.json"
expect 2 '$.surplus: unknown key' "$bin/bulrushflow-node" "$run/bad-settings.json"
expect 2 'not JSON' "$bin/bulrushflow" publish "$run/bad-json.json"
expect 2 "points at unknown service 'dues'" "$bin/bulrushflow" publish "$run/dangling.json"
expect 2 'schema 99 is above' "$bin/bulrushflow" publish "$run/schema.json"

cat >"$run/configuration.json" <<'DOCUMENT'
{
    "services": {"statements": {"version": "v1"}, "payments": {"version": "v1"}},
    // Balance enquiries may be retried; payments may not.
    "routes": {
        "/statements": {"service": "statements", "idempotent": true},
        "/statements/yearly": {"service": "statements"},
        "/payments": {"service": "payments"},
    },
}
DOCUMENT
echo; echo "publish:"
"$bin/bulrushflow" publish "$run/configuration.json" | tee "$run/publish.out"
[ "${PIPESTATUS[0]}" -eq 0 ] || exit 1

callers_at_start=("${caller_urls[@]}")
start_pair 7 celje-a statements v2
start_pair 8 velenje statements v2
start_pair 9 celje-b statements v3 '{"error_share": 1.0, "faulty_path": "/statements/yearly"}'
wait_members 9
load 75 7 "$run/load.json" "${callers_at_start[@]}" &
load_pids+=($!)

echo; echo "moves:"
"$bin/bulrushflow" move statements --to v2 --by +30s --wait --publish-id demo-good >"$run/good.out" ||
    fail "the good move's command ended with status $?"
"$bin/bulrushflow" move statements --to v3 --by +30s --wait --publish-id demo-bad >"$run/bad.out" ||
    fail "the bad move's command ended with status $?"
"$bin/bulrushflow" why demo-good | tee "$run/good.out"
"$bin/bulrushflow" why demo-bad | tee "$run/bad.out"
grep -q 'v1 to v2: done' "$run/good.out" || fail "the good move is not completed"
grep -q 'v2 to v3: taken back' "$run/bad.out" || fail "the bad move was not taken back"
wait "${load_pids[0]}"
load_pids=()

load 8 8 "$run/stops.json" "${callers_at_start[@]:0:4}" &
load_pids+=($!)
sleep 2
drain_and_stop 3
drain_and_stop 8
wait "${load_pids[0]}"
load_pids=()

"$bin/bulrushflow" history >"$run/history.out" || fail "the history command ended with status $?"
for part in 'by operator' 'by node' 'evidence: ' 'became: done' 'became: taken back' 'rejected: '; do
    grep -q "$part" "$run/history.out" || fail "the history has no '$part'"
done
"$bin/bulrushflow" status --fleet >"$run/status.out" || fail "some nodes lag or did not respond"
trap - EXIT
stop_all
echo; echo "summary:"
summarize "calls during the moves" "$run/load.json"
summarize "calls during graceful stops" "$run/stops.json"
echo "convergence: $(cat "$run/publish.out")"
echo "moves: $(head -n 1 "$run/good.out"); $(head -n 1 "$run/bad.out")"
echo "events in the history: $(grep -c ' offset [0-9]* [a-z_]*' "$run/history.out")"
echo "failed checks: $failures"
exit $((failures > 0))
