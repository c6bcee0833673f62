// Package splitmix hashes numbers to pseudorandom bits, for choices that must have the
// same result on every host.
//
// # Usage
//
//	bits := splitmix.Mix(seed + n)
package splitmix

// Mix is the finalizer of splitmix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom
// Number Generators, 2014).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
