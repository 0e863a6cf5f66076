"""Stand-ins for the platform, the upstreams and the network, for tests and demos."""
