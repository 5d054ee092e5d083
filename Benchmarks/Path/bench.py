"""Measures the latency that laburnumd adds to short calls, and the concurrent
streams of one instance, on loopback."""
import argparse
import json
import os
import statistics
import subprocess
import sys

from loopback_fleet import Fleet

SERVICE = "entry-desk"
MODEL = "dossier-writer"
SERVICE_THREADS = 256
CALLER_THREADS = 2400
LOAD_THREADS = 64
OVERLOAD_PER_SECOND = 50000
TOKEN_INTERVAL_MS = 37
STREAM_TOKENS = 128
P99_GOAL_MS = 1.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """User and system CPU time of a process."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def status_value(pid: int, name: str) -> int:
    """A field of /proc/PID/status, such as VmRSS in KiB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith(name + ":"):
                return int(line.split()[1])
    return 0


def load(fleet: Fleet, port: int, *arguments: str) -> dict:
    done = subprocess.run(
        [fleet.program("laburnum-load"), "--target",
         f"http://127.0.0.1:{port}", "--key", fleet.account_key,
         "--output", "json", *arguments],
        capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


def short_calls(fleet, port, rate, seconds, seed, threads=LOAD_THREADS):
    return load(fleet, port, "--service", SERVICE, "--path", "/status",
                "--rate", f"{rate:.0f}", "--seconds", str(seconds),
                "--seed", str(seed), "--threads", str(threads))


def latency(report: dict) -> tuple:
    whole = report["latency"]["plain"]["whole_answer"]
    return whole["p50_ms"], whole["p99_ms"]


def start(options) -> tuple:
    fleet = Fleet(options.build, {"callers": {"threads": CALLER_THREADS}})
    fleet.start_platform()
    desk = fleet.start("service-standin", "desk-1", "--threads",
                       str(SERVICE_THREADS))
    engine = fleet.start(
        "engine-standin", "runner-1", "--threads", str(CALLER_THREADS),
        "--slots", str(options.streams), "--kv-tokens", "10000000",
        "--prefill-tokens-per-second", "1000000",
        "--token-interval-ms", str(TOKEN_INTERVAL_MS))
    entry = fleet.start_instance("entry-1", "wien-1")
    fleet.control("service", "apply", "--name", SERVICE, "--kind", "plain")
    fleet.control("service", "apply", "--name", MODEL, "--kind", "model")
    for name, service, process in (("desk-1", SERVICE, desk),
                                   ("runner-1", MODEL, engine)):
        fleet.control("backend", "apply", "--id", name, "--service", service,
                      "--data-centre", "wien-1", "--address",
                      f"127.0.0.1:{process.port}", "--capacity", "4096")
    fleet.control("account", "apply", "--name", "stalls", "--account-key",
                  fleet.account_key, "--requests-per-second", "1000000",
                  "--tokens-per-second", "1000000000",
                  "--concurrent-requests", "100000")
    fleet.await_service(entry, "GET", f"/services/{SERVICE}/status")
    return fleet, desk, entry


def saturate(fleet, port, pid) -> tuple:
    """Measures under overload; returns calls per second, CPU seconds per call,
    the number of failed calls and the counts by outcome."""
    before = cpu_seconds(pid)
    report = short_calls(fleet, port, OVERLOAD_PER_SECOND, 1, 1)
    used = cpu_seconds(pid) - before
    return (report["whole"] / report["elapsed_s"], used / report["whole"],
            report["calls"] - report["whole"], report["outcomes"])


def compare(fleet, desk, entry, rate, options) -> dict:
    """Runs the same arrivals alternately directly and through the daemon."""
    pid = entry.process.popen.pid
    rows = []
    for seed in range(1, options.repeats + 1):
        direct = short_calls(fleet, desk.port, rate, options.seconds, seed)
        before = cpu_seconds(pid)
        through = short_calls(fleet, entry.callers, rate, options.seconds,
                              seed)
        rows.append({
            "direct": latency(direct), "through": latency(through),
            "failed": through["calls"] - through["whole"],
            "cpu_us": 1e6 * (cpu_seconds(pid) - before) / through["calls"]})
    return {
        "direct": [statistics.median(row["direct"][i] for row in rows)
                   for i in (0, 1)],
        "added": [statistics.median(row["through"][i] - row["direct"][i]
                                    for row in rows) for i in (0, 1)],
        "added_p99s": sorted(row["through"][1] - row["direct"][1]
                             for row in rows),
        "cpu_us": statistics.median(row["cpu_us"] for row in rows),
        "failed": sum(row["failed"] for row in rows)}


def show_short_calls(fleet, desk, entry, options) -> None:
    pid = entry.process.popen.pid
    runs = sorted((saturate(fleet, entry.callers, pid)
                   for _ in range(options.repeats)), key=lambda run: run[0])
    rate, cpu, *_ = runs[len(runs) // 2]
    print(f"saturation: {rate:.0f} calls/s through one instance, "
          f"{1 / cpu:.0f} calls/s per core ({1e6 * cpu:.0f} us of processor "
          f"time a call)")
    for run in runs:
        if run[2]:
            print(f"  {run[2]} failed: {run[3]}")
    print("rate      direct p50/p99 ms   added p50/p99 ms   added p99 of each"
          " run          us/call  calls/s/core  failed")
    for share in options.shares:
        row = compare(fleet, desk, entry, share * rate, options)
        each = " ".join(f"{one:.2f}" for one in row["added_p99s"])
        print(f"{share * rate:6.0f}/s  {row['direct'][0]:6.3f} "
              f"{row['direct'][1]:7.3f}      {row['added'][0]:6.3f} "
              f"{row['added'][1]:7.3f}      {each:28}  {row['cpu_us']:7.0f}"
              f"  {1e6 / row['cpu_us']:11.0f}  {row['failed']:6}", flush=True)
        if share == 0.5:
            met = "met" if row["added"][1] < P99_GOAL_MS else "MISSED"
            print(f"          goal at half load, added p99 under "
                  f"{P99_GOAL_MS:.0f} ms: {met}")


def show_streams(fleet, entry, options) -> None:
    pid = entry.process.popen.pid
    resident, used = status_value(pid, "VmRSS"), cpu_seconds(pid)
    report = load(fleet, entry.callers, "--mode", "streams", "--model", MODEL,
                  "--streams", str(options.streams), "--long-tokens",
                  str(STREAM_TOKENS))
    used = cpu_seconds(pid) - used
    peak = status_value(pid, "VmHWM")
    rows = report["latency"]["long"]
    tokens = options.streams * STREAM_TOKENS
    print(f"streams: {report['whole']} of {options.streams} completed, "
          f"{STREAM_TOKENS} tokens each, {TOKEN_INTERVAL_MS} ms apart")
    print(f"  first token p50/p99 {rows['first_token']['p50_ms']:.0f} "
          f"{rows['first_token']['p99_ms']:.0f} ms, complete answer p50/p99 "
          f"{rows['whole_answer']['p50_ms']:.0f} "
          f"{rows['whole_answer']['p99_ms']:.0f} ms "
          f"(the engine alone: {STREAM_TOKENS * TOKEN_INTERVAL_MS} ms)")
    print(f"  resident {resident / 1024:.0f} MiB before, {peak / 1024:.0f} MiB"
          f" at the peak: {(peak - resident) / options.streams:.0f} KiB a "
          f"stream; {1e6 * used / tokens:.0f} us of processor time a token, "
          f"{100 * used / report['elapsed_s']:.0f}% of a core")
    if report["whole"] != options.streams:
        print(f"  outcomes: {report['outcomes']}")


def main() -> int:
    parser = argparse.ArgumentParser(prog="Meta/laburnum bench path")
    parser.add_argument("build")
    parser.add_argument("--seconds", type=int, default=4)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--streams", type=int, default=1000)
    parser.add_argument("--shares", type=float, nargs="+",
                        default=[0.1, 0.25, 0.5, 0.75])
    options = parser.parse_args()
    one, five, _ = os.getloadavg()
    print(f"load average before: {one:.1f} (1 min) {five:.1f} (5 min) on "
          f"{os.cpu_count()} cores")
    fleet, desk, entry = start(options)
    with fleet:
        show_short_calls(fleet, desk, entry, options)
        show_streams(fleet, entry, options)
    print(f"load average after: {os.getloadavg()[0]:.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
