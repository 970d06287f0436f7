"""The process beside a model engine: keeps it loaded with the wanted version of the weights."""
