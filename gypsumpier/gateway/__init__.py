"""An entry on the platform: takes callers' requests and relays them straight to upstreams."""
