"""An entry: accepts callers' requests and relays them directly to upstreams."""
