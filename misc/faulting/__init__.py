"""Parts of the run that checks the promises to callers under a seeded schedule of faults."""
