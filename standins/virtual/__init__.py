"""Runs the product's decision code on a virtual clock, with a fake log and servers."""
