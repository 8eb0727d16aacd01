#!/bin/sh
# Builds the stand-ins of the review (clients, upstreams, discovery) into review/target. The balancer
# itself is built by the line "build" of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target standins/*.java
