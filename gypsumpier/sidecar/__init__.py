"""The process beside a model engine: keeps the right weights staged and live on it."""
