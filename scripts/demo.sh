#!/usr/bin/env bash
echo "demo: not available yet"
