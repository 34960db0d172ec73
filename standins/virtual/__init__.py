"""Simulation of the product's decision code on a virtual clock, among fakes."""
