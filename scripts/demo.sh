#!/bin/sh
# Starts a small fleet on loopback, serves one request through it, shows the bill and
# a refusal, and stops the processes that it started. It builds the programs itself and
# needs only Go. Set KEEP=1 to keep the directory with settings and logs.
set -eu
cd "$(dirname "$0")/.."

hosts=5
controls=3
start_limit=60 # seconds within which the fleet must be ready
step_limit=20  # seconds within which any other step must succeed
stop_limit=15  # seconds after SIGTERM until remaining processes are killed

work=$(mktemp -d "${TMPDIR:-/tmp}/bluebellsail-demo.XXXXXX")
bin=$work/bin
fleet=$work/fleet
pids=

say() { printf '\n== %s\n' "$*"; }

show() {
  printf '$ %s\n' "$*"
  "$@"
}

# running succeeds if any process that this script started is still running.
running() {
  for pid in $pids; do
    if kill -0 "$pid" 2>/dev/null; then return 0; fi
  done
  return 1
}

# stop stops the processes that this script started, by ID: first with SIGTERM, then SIGKILL.
stop() {
  for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
  left=$stop_limit
  while running && [ "$left" -gt 0 ]; do
    sleep 1
    left=$((left - 1))
  done
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
  wait
}

finish() {
  status=$?
  trap - EXIT INT TERM
  if [ "$status" -ne 0 ]; then
    say "the demo failed; last lines of the logs"
    tail -n 5 "$work"/*.out "$fleet"/*.log 2>/dev/null || true
  fi
  say "stopping"
  stop
  if [ -n "${KEEP:-}" ]; then
    echo "kept: $work"
  else
    rm -rf "$work"
  fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a command in the background, with its output in a file.
start() {
  name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids="$pids $!"
}

# wait_for SECONDS WHAT COMMAND... repeats a command until it succeeds.
wait_for() {
  left=$(($1 * 5))
  what=$2
  shift 2
  until "$@" >"$work/wait.out" 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then
      echo "gave up waiting until $what:" >&2
      cat "$work/wait.out" >&2
      exit 1
    fi
    sleep 0.2
  done
}

# contains PATTERN COMMAND... succeeds when the command's output matches the pattern.
contains() {
  pattern=$1
  shift
  "$@" >"$work/contains.out" 2>&1 || return 1
  cat "$work/contains.out"
  grep -Eq "$pattern" "$work/contains.out"
}

# in_force succeeds if all hosts use the newest settings.
in_force() {
  bluebellsail config status >"$work/config.out" || return 1
  cat "$work/config.out"
  [ "$(grep -Ec ' true +yes$' "$work/config.out")" -eq "$hosts" ]
}

# address ROW COLUMN prints a field of the fleet's table of hosts.
address() { awk -v host="$1" -v column="$2" '$1 == host { print $column }' "$work/hosts.txt"; }

say "building"
mkdir "$bin"
go build -o "$bin/" ./cmd/bluebellsaild ./cmd/bluebellsail ./cmd/standin ./cmd/load
PATH=$bin:$PATH

say "a fleet of $hosts hosts in three availability zones, $controls of them with a control replica"
bluebellsail dev init --dir "$fleet" --hosts "$hosts" --controls "$controls" --zones a,b,c >"$work/hosts.txt"
cat "$work/hosts.txt"
. "$fleet/env.sh"
for n in $(seq 1 "$hosts"); do
  start "host-$n" bluebellsaild run "$fleet/host-$n.json"
done
first=$(address host-1 4)
second=$(address host-2 4)
start standin standin --address-file "$work/standin.address" --announce "$first,$second" \
  --zone a --models chat-small --services ledger
wait_for "$start_limit" "the control group leads and all hosts are alive" \
  contains "hosts: $hosts alive, 0 out" bluebellsail --timeout 2s status
for n in $(seq 1 "$hosts"); do
  wait_for "$step_limit" "host-$n is ready" \
    contains 'ready true' bluebellsail --timeout 2s -a "$(address "host-$n" 5)" status
done
wait_for "$step_limit" "the backend server is known" \
  contains 'chat-small' bluebellsail --timeout 2s server list

say "the operator describes a team, makes its budget and a client account, and tops the budget up"
show bluebellsail config set /fleet '{"address_ttl":"1s"}' --any-version
show bluebellsail team set school priority=normal default_timeout=10s max_output_tokens=256
show bluebellsail budget create petty-cash --account caruaru --tokens 100
show bluebellsail budget top-up petty-cash --tokens 9900
bluebellsail account create caruaru --team school --budget petty-cash >"$work/account.txt"
grep -v '^bbs_' "$work/account.txt"
key=$(grep '^bbs_' "$work/account.txt")
wait_for "$step_limit" "the change is in force on every host" in_force

say "a caller asks a host for addresses, connects to one and streams a chat with a deadline"
load once --host "$first" --account "caruaru=$key" --model chat-small --timeout 10s \
  --max-tokens 40 --prompt 'Reconcile the receipts of May.' | tee "$work/once.txt"
tokens=$(sed -n 's/^whole answer in time: \([0-9]*\) prompt tokens, \([0-9]*\) output.*/\1 + \2/p' "$work/once.txt")
request=$(sed -n 's/^request id: //p' "$work/once.txt")
if [ -z "$tokens" ]; then
  echo "no whole answer in time" >&2
  exit 1
fi
tokens=$(($tokens))

say "the ledger has one bill of $tokens tokens"
wait_for "$step_limit" "the bill is settled" \
  contains "billed $tokens,.* bills 1\$" bluebellsail budget show petty-cash
show bluebellsail budget show petty-cash
show bluebellsail budget statement petty-cash
show bluebellsail explain "$request"

say "a caller whose budget is empty is refused, truthfully and with a time to come back"
bluebellsail budget create empty --account olinda --tokens 0 >/dev/null
bluebellsail account create olinda --team school --budget empty >"$work/account2.txt"
key2=$(grep '^bbs_' "$work/account2.txt")
wait_for "$step_limit" "the change is in force on every host" in_force
refused=0
load once --host "$first" --account "olinda=$key2" --model chat-small --timeout 5s \
  --attempts 1 >"$work/refused.txt" || refused=$?
cat "$work/refused.txt"
if [ "$refused" -ne 3 ] || ! grep -Eq '^refused: budget_exhausted, .*ran: no, come back in [1-9]' "$work/refused.txt"; then
  echo "that is not the refusal that was due" >&2
  exit 1
fi

say "done: one answer in time, one bill, one true refusal"
