"""Starts a fleet on loopback: stand-ins for the platform, engines and services
and several laburnumd, each in its own process. Used by the demo and the
benchmarks."""
import http.client
import json
import os
import re
import secrets
import signal
import subprocess
import tempfile
import threading
import time
from dataclasses import dataclass, field

STOP_SECONDS = 40
READY_SECONDS = 20


@dataclass
class Process:
    name: str
    popen: subprocess.Popen
    port: int = 0
    log: str = ""

    def stop(self, how: int = signal.SIGTERM) -> None:
        if self.popen.poll() is None:
            self.popen.send_signal(how)

    def wait(self) -> None:
        try:
            self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()


@dataclass
class Instance:
    name: str
    data_centre: str
    callers: int
    operators: int
    peers: int
    process: Process


def call(port, method, path, body=None, headers=None, timeout=30):
    """Makes an HTTP call on loopback; returns status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


@dataclass
class Fleet:
    build: str
    settings: dict = field(default_factory=dict)
    processes: list = field(default_factory=list)
    instances: list = field(default_factory=list)

    def __post_init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="laburnum-")
        self.secret = secrets.token_hex(16)
        self.operator_key = secrets.token_hex(16)
        self.account_key = secrets.token_hex(16)
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def program(self, name: str) -> str:
        return os.path.join(self.build, "bin", name)

    def start(self, program: str, name: str, *arguments: str) -> Process:
        """Starts a stand-in and reads the port that it prints."""
        log = open(os.path.join(self.folder.name, name + ".log"), "wb")
        popen = subprocess.Popen(
            [self.program(program), *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
        )
        process = Process(name, popen, log=log.name)
        self.processes.append(process)
        line = popen.stdout.readline().decode()
        found = re.search(r"listening on \S+:(\d+)", line)
        if not found:
            raise RuntimeError(f"{name} did not start: {line!r}")
        process.port = int(found.group(1))
        threading.Thread(target=popen.stdout.read, daemon=True).start()
        return process

    def start_platform(self, *arguments: str) -> Process:
        self.platform = self.start("platform-standin", "platform", *arguments)
        return self.platform

    def start_instance(self, name: str, data_centre: str) -> Instance:
        seeds = ",".join(f"127.0.0.1:{one.peers}" for one in self.instances)
        path = os.path.join(self.folder.name, name + ".ini")
        sections = {
            "instance": {"id": name, "data_centre": data_centre},
            "callers": {"host": "127.0.0.1", "port": 0},
            "operators": {
                "host": "127.0.0.1",
                "port": 0,
                "keys": f"demo:{self.operator_key}",
            },
            "peers": {
                "host": "127.0.0.1",
                "port": 0,
                "secret": self.secret,
                "seeds": seeds,
            },
            "platform": {"endpoint": f"127.0.0.1:{self.platform.port}"},
        }
        for section, keys in self.settings.items():
            sections.setdefault(section, {}).update(keys)
        with open(path, "w", encoding="utf-8") as file:
            for section, keys in sections.items():
                file.write(f"[{section}]\n")
                for key, value in keys.items():
                    file.write(f"{key} = {value}\n")
        log = os.path.join(self.folder.name, name + ".log")
        popen = subprocess.Popen(
            [self.program("laburnumd"), "--settings", path],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=open(log, "wb"),
        )
        process = Process(name, popen, log=log)
        self.processes.append(process)
        ports = self.await_ports(process)
        instance = Instance(name, data_centre, *ports, process)
        process.port = instance.callers
        self.instances.append(instance)
        self.register(instance)
        return instance

    def await_ports(self, process: Process) -> tuple:
        """Waits for the daemon's log line state=serving; returns its ports."""
        pattern = re.compile(
            r"state=serving callers_port=(\d+) operators_port=(\d+) "
            r"peers_port=(\d+)"
        )
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            with open(process.log, encoding="utf-8", errors="replace") as file:
                found = pattern.search(file.read())
            if found:
                return tuple(int(port) for port in found.groups())
            if process.popen.poll() is not None:
                break
            time.sleep(0.02)
        with open(process.log, encoding="utf-8", errors="replace") as file:
            raise RuntimeError(f"{process.name} did not start:\n{file.read()}")

    def register(self, instance: Instance) -> None:
        """Adds the instance to the platform's instance list, as the platform
        itself would."""
        if self.platform.popen.poll() is not None:
            return
        call(
            self.platform.port,
            "POST",
            "/instances",
            {
                "id": instance.name,
                "data_centre": instance.data_centre,
                "callers": f"127.0.0.1:{instance.callers}",
                "peers": f"127.0.0.1:{instance.peers}",
                "operators": f"127.0.0.1:{instance.operators}",
                "state": "live",
            },
        )

    def control(self, *arguments: str, at: int = 0) -> str:
        """Runs laburnumctl against one instance."""
        instance = self.instances[at]
        environment = dict(os.environ)
        environment["LABURNUM_SERVER"] = f"127.0.0.1:{instance.operators}"
        environment["LABURNUM_OPERATOR_KEY"] = self.operator_key
        done = subprocess.run(
            [self.program("laburnumctl"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode != 0:
            raise RuntimeError(
                f"laburnumctl {' '.join(arguments[:2])}: {done.stderr}"
            )
        return done.stdout

    def headers(self, **more: str) -> dict:
        return {"Authorization": f"Bearer {self.account_key}", **more}

    def await_service(self, instance: Instance, method, path, body=None) -> float:
        """Waits until the instance serves a configuration that was just
        applied; returns the seconds."""
        start = time.monotonic()
        while time.monotonic() < start + READY_SECONDS:
            status, _, _ = call(
                instance.callers, method, path, body, self.headers()
            )
            if status == 200:
                return time.monotonic() - start
            time.sleep(0.02)
        raise RuntimeError(f"{instance.name} does not serve {path}")

    def stop(self) -> None:
        """Stops the instances first, so that they can drain while the stand-ins
        still run."""
        daemons = [one.process for one in self.instances]
        for process in daemons:
            process.stop()
        for process in daemons:
            process.wait()
        others = [one for one in self.processes if one not in daemons]
        for process in others:
            process.stop()
        for process in others:
            process.wait()
        self.folder.cleanup()
