package rank

// Capacity is what a VM offers its proxy. Zero fields are unknown.
type Capacity struct {
	// Cores is the processor time, in cores of the usual speed. LinkMbps is the bandwidth of the network link in
	// Mbit/s.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link-mbps"`
}

// Max returns the largest value of each field.
func (c Capacity) Max(other Capacity) Capacity {
	return Capacity{
		Cores:    max(c.Cores, other.Cores),
		LinkMbps: max(c.LinkMbps, other.LinkMbps),
	}
}

// RelativeTo returns the capacity as a fraction of the largest one, by the scarcer of processor and link. It is in
// (0, 1]. What is unknown counts as largest.
func (c Capacity) RelativeTo(largest Capacity) float64 {
	fraction := 1.0
	if c.Cores > 0 && largest.Cores > 0 {
		fraction = min(fraction, c.Cores/largest.Cores)
	}
	if c.LinkMbps > 0 && largest.LinkMbps > 0 {
		fraction = min(fraction, c.LinkMbps/largest.LinkMbps)
	}
	return fraction
}
