"""An example of a settings file."""

EXAMPLE = """\
{
  // Who this VM is. The process learns its place only from here.
  "node": {"name": "vm-1", "data_centre": "nagyalfold-1", "region": "nagyalfold"},

  // Callers arrive here, behind the platform's balancer.
  "callers": {
    "host": "127.0.0.1",
    "port": 8080,
    "tls": {"mode": "off"}  // TLS is on unless this says off.
  },

  // Other nodes: TCP for requests, UDP for membership.
  "peers": {
    "host": "127.0.0.1",
    "port": 7000,
    "gossip_port": 7001,
    "keys": [{"environment": "COMFREYUSHER_PEER_KEY"}],
    "tls": {"mode": "off"}
  },

  // The command line talks to this address.
  "operators": {
    "host": "127.0.0.1",
    "port": 8081,
    "keys": [{"environment": "COMFREYUSHER_OPERATOR_KEY"}]
  },

  // The platform's log and list of VMs.
  "platform": {"host": "127.0.0.1", "port": 9000},

  "telemetry": {"otlp_endpoint": "", "sampling_ratio": 0.01}
}
"""
