package policy

// Constants of the generator PCG-XSH-RR with 64 bits of state and 32 of output (M. E. O'Neill, "PCG: A Family of Simple
// Fast Space-Efficient Statistically Good Algorithms for Random Number Generation", 2014).
const (
	pcgMultiplier = 6364136223846793005
	pcgIncrement  = 1442695040888963407
)

// randomBelow returns a random integer in [0, n).
func (b *Balancer) randomBelow(n int) int {
	old := b.randomState
	b.randomState = old*pcgMultiplier + pcgIncrement
	shifted := uint32(((old >> 18) ^ old) >> 27)
	rotation := uint32(old >> 59)
	rotated := shifted>>rotation | shifted<<(-rotation&31)
	return int(uint64(rotated) * uint64(n) >> 32)
}

// randomFloat returns a random number in [0, 1).
func (b *Balancer) randomFloat() float64 {
	const resolution = 1 << 20
	return float64(b.randomBelow(resolution)) / resolution
}
