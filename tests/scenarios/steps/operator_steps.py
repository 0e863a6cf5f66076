"""Steps for the command line, telemetry, TLS and the binary."""

import datetime
import http.server
import ipaddress
import json
import subprocess
import sys
import threading

import requests
from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
)
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

from extras import build_binary
from extras.example import build_headers
from standins.fleet import wait_for

ONE_DAY = datetime.timedelta(days=1)


def run_command(context, arguments, **environment):
    """Run the command line against the first node, and keep its result.

    ``environment`` replaces variables of the fleet's environment.
    """
    node = next(iter(context.fleet.nodes.values()))
    command = [sys.executable, "-m", "comfreyusher", "--operators", node.operators_url]
    context.shared["command_result"] = subprocess.run(
        [*command, *arguments],
        env={**context.fleet.environment, **environment},
        capture_output=True,
        text=True,
        timeout=60,
    )


def write_profile(context, name, wait_ms):
    """Write a profile to a file, and return its path."""
    folder = context.fleet.folder / "profiles"
    folder.mkdir(exist_ok=True)
    path = folder / f"{name}.json"
    path.write_text(json.dumps({"name": name, "max_wait_ms": wait_ms}))
    return path


@when('an operator runs "{words}" with the file {name:Word} at {wait_ms:d} ms')
def run_with_file(context, words, name, wait_ms):
    path = write_profile(context, name, wait_ms)
    run_command(context, [*words.split(), str(path)])


@when('an operator runs "{words}" with a service of an unknown profile')
def run_with_service(context, words):
    path = context.fleet.folder / "service.json"
    body = {
        "name": "s",
        "profile": "unknown",
        "slots": {},
        "routes": [{"prefix": "/s"}],
    }
    path.write_text(json.dumps(body))
    run_command(context, [*words.split(), str(path)])


@when('an operator runs "{words}"')
def run_without_file(context, words):
    run_command(context, words.split())


@when("an operator applies a directory with the file {name:Word} at {wait_ms:d} ms")
def apply_directory(context, name, wait_ms):
    path = write_profile(context, name, wait_ms)
    run_command(context, ["profile", "apply", str(path.parent)])


@when('somebody with a wrong key runs "{words}"')
def run_with_wrong_key(context, words):
    run_command(context, words.split(), COMFREYUSHER_OPERATOR_KEY="x" * 20)


@then("the command ends with status {status:d} and prints nothing wrong")
def check_exit_status(context, status):
    check_command(context, status, "")


@then('the command ends with status {status:d} and prints "{text}"')
def check_command(context, status, text):
    result = context.shared["command_result"]
    printed = result.stdout + result.stderr
    assert result.returncode == status, (result.returncode, printed)
    assert text in printed, printed
    assert "Traceback" not in printed, printed


# Telemetry -----------------------------------------------------------------


class OtlpReceiver(http.server.BaseHTTPRequestHandler):
    """Receives OTLP exports over HTTP, and keeps the names of spans and metrics."""

    def do_POST(self):
        """Handle one export of spans or metrics."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path == "/v1/traces":
            request = ExportTraceServiceRequest.FromString(body)
            for resource in request.resource_spans:
                for scope in resource.scope_spans:
                    self.server.names.update(span.name for span in scope.spans)
        elif self.path == "/v1/metrics":
            request = ExportMetricsServiceRequest.FromString(body)
            for resource in request.resource_metrics:
                for scope in resource.scope_metrics:
                    self.server.names.update(m.name for m in scope.metrics)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        """Log nothing."""


@given("an OTLP receiver")
def start_receiver(context):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), OtlpReceiver)
    server.names = set()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.shared["receiver"] = server
    context.node_overrides = {
        "telemetry.otlp_endpoint": f"http://127.0.0.1:{server.server_port}",
        "telemetry.sampling_ratio": 1.0,
        "telemetry.export_period_s": 1.0,
    }


@then("the receiver gets spans of entry, owner and upstream within {seconds:g} s")
def check_spans(context, seconds):
    received_names = context.shared["receiver"].names
    expected_names = {"entry", "owner", "upstream"}
    wait_for(lambda: expected_names <= received_names, f"{expected_names}", seconds)


@then("the receiver gets the metric {name} within {seconds:g} s")
def check_metric(context, name, seconds):
    received_names = context.shared["receiver"].names
    wait_for(lambda: name in received_names, name, seconds)
    context.shared["receiver"].shutdown()


# TLS -----------------------------------------------------------------------


def issue_certificate(subject, key, issuer, issuer_key, authority):
    """Return a certificate for 127.0.0.1 that is valid for a day around now."""
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - ONE_DAY)
        .not_valid_after(now + ONE_DAY)
        .add_extension(x509.BasicConstraints(authority, None), critical=True)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(issuer_key, hashes.SHA256())
    )


def build_x509_name(text):
    """Return an X.509 name with a common name."""
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])


@given("certificates of a test authority")
def make_certificates(context):
    folder = context.fleet.folder
    authority_key = ec.generate_private_key(ec.SECP256R1())
    key = ec.generate_private_key(ec.SECP256R1())
    issuer = build_x509_name("test authority")
    authority = issue_certificate(issuer, authority_key, issuer, authority_key, True)
    certificate = issue_certificate(
        build_x509_name("node"), key, issuer, authority_key, authority=False
    )
    pem = serialization.Encoding.PEM
    (folder / "authority.pem").write_bytes(authority.public_bytes(pem))
    (folder / "node.pem").write_bytes(certificate.public_bytes(pem))
    (folder / "node.key").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    files = {
        "certificate_file": str(folder / "node.pem"),
        "key_file": str(folder / "node.key"),
    }
    peers = {**files, "authority_file": str(folder / "authority.pem")}
    context.node_overrides = {"callers.tls": files, "peers.tls": peers}
    context.shared["authority"] = str(folder / "authority.pem")


@when("a lookup is sent by TLS through every node")
def send_by_tls(context):
    for node in context.fleet.nodes.values():
        url = node.callers_url.replace("http:", "https:") + "/sheets/1"
        response = requests.get(
            url,
            headers=build_headers("kecskemet-tofu"),
            verify=context.shared["authority"],
            timeout=10,
        )
        context.responses.append(response)


# Binary --------------------------------------------------------------------


@given("the binary is built")
def build_executable(context):
    context.shared["binary"] = str(build_binary.build())


@when("it is asked for its version")
def ask_version(context):
    context.shared["command_result"] = subprocess.run(
        [context.shared["binary"], "--version"],
        capture_output=True,
        text=True,
        timeout=120,
    )


@given("the fleet runs the binary")
def use_binary(context):
    context.fleet.command = [context.shared["binary"]]
