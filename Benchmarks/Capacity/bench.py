"""Measures how the control plane scales: the real decision cores in virtual
time (bench-capacity), then a few idle real daemons on loopback."""
import argparse
import json
import os
import subprocess
import sys
import time

from loopback_fleet import Fleet, call

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 5
CENTRES = ("wien-1", "wien-2", "innsbruck-1")


def cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mib(pid: int) -> float:
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def platform_calls(fleet: Fleet) -> dict:
    return json.loads(call(fleet.platform.port, "GET", "/counters")[2])


def measure(options) -> None:
    with Fleet(options.build) as fleet:
        fleet.start_platform()
        desk = fleet.start("service-standin", "desk-1")
        for number in range(options.daemons):
            fleet.start_instance(f"entry-{number + 1}",
                                 CENTRES[number % len(CENTRES)])
        fleet.control("service", "apply", "--name", "entry-desk", "--kind",
                      "plain")
        for number in range(options.servers):
            fleet.control("backend", "apply", "--id", f"desk-{number + 1}",
                          "--service", "entry-desk", "--data-centre",
                          CENTRES[0], "--address", f"127.0.0.1:{desk.port}")
        time.sleep(SETTLE_SECONDS)
        pids = [one.process.popen.pid for one in fleet.instances]
        used = [cpu_seconds(pid) for pid in pids]
        calls = platform_calls(fleet)
        time.sleep(options.seconds)
        shares = [100 * (cpu_seconds(pid) - before) / options.seconds
                  for pid, before in zip(pids, used)]
        after = platform_calls(fleet)
        rates = {name: (after[name] - calls[name]) / options.seconds
                 for name in after if after[name] != calls[name]}
        print(f"\n{options.daemons} daemons at rest for {options.seconds} s, "
              f"{options.servers} servers configured: share of a core mean "
              f"{sum(shares) / len(shares):.2f}%, most {max(shares):.2f}%; "
              f"resident mean "
              f"{sum(map(resident_mib, pids)) / len(pids):.1f} MiB")
        print("platform calls a second, all together: " + ", ".join(
            f"{name} {rate:.1f}" for name, rate in sorted(rates.items())))


def main() -> int:
    parser = argparse.ArgumentParser(prog="Meta/laburnum bench capacity")
    parser.add_argument("build")
    parser.add_argument("parts", nargs="*",
                        help="any of steady, claims, changes, herds, daemons, "
                        "and numbers of members; default: all")
    parser.add_argument("--daemons", type=int, default=8)
    parser.add_argument("--servers", type=int, default=13)
    parser.add_argument("--seconds", type=int, default=20)
    options = parser.parse_args()
    print(f"load average: {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores",
          flush=True)
    models = [part for part in options.parts if part != "daemons"]
    if models or not options.parts:
        subprocess.run([os.path.join(options.build, "bin", "bench-capacity"),
                        *models], check=True)
    if "daemons" in options.parts or not options.parts:
        measure(options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
