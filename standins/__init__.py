"""Simulated platform, engines and services, with load tools and benchmarks."""
