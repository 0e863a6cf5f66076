"""An example of a settings file."""

EXAMPLE = """\
{
  // Name and location of this VM. The process learns them only from here.
  "node": {"name": "vm-1", "data_centre": "nagyalfold-1", "region": "nagyalfold"},

  // Listener for callers, behind the platform's load balancer.
  "callers": {
    "address": "127.0.0.1:8080",
    "tls": {"mode": "off"}  // TLS is on unless the mode is "off".
  },

  // Listeners for other nodes: TCP for requests, UDP for membership.
  "peers": {
    "host": "127.0.0.1",
    "port": 7000,
    "gossip_port": 7001,
    "keys": [{"environment": "COMFREYUSHER_PEER_KEY"}],
    "tls": {"mode": "off"}
  },

  // Listener for the command line.
  "operators": {
    "address": "127.0.0.1:8081",
    "keys": [{"environment": "COMFREYUSHER_OPERATOR_KEY"}]
  },

  // The platform's store: configuration, upstreams and durable data.
  "platform": {"address": "127.0.0.1:9000"},

  // Some nodes of the fleet to join, and the region of each data centre.
  "fleet": {
    "seeds": ["127.0.0.1:7000"],
    "regions": {"nagyalfold-1": "nagyalfold"}
  },

  // Pages for the platform's load balancer and its metrics collector.
  "readiness": {"address": "127.0.0.1:8082", "path": "/ready"},
  "metrics": {"address": "127.0.0.1:8083", "path": "/metrics"},

  "telemetry": {"otlp_endpoint": "", "sampling_ratio": 0.01}
}
"""
