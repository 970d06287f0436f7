"""Limits the requests to cold upstreams, summed over all entries, without an agreement of these."""
