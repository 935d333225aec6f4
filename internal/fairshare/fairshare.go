// Package fairshare divides a capacity among customers by weighted max-min fairness, and keeps the
// counts that the division needs.
//
// Each customer that has demand is guaranteed its weight's part of the capacity. What a customer
// does not use is divided among the others in the same way (water filling; Bertsekas and Gallager,
// "Data Networks", 6.5.2).
//
// The package does no I/O, takes no lock and does not read the clock.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what a customer requests, in any unit that the capacity has too.
type Demand struct {
	// Weight is the customer's claim relative to others, such as its limit. If it is not positive,
	// it counts as the mean of the positive weights, or as equal if there are none.
	Weight float64
	// Amount is what the customer requests.
	Amount float64
}

// Divide returns the part of capacity that each demand gets, in the same order. No part exceeds its
// demand, and together they do not exceed the capacity.
func Divide(capacity float64, demands []Demand) []float64 {
	weights := effectiveWeights(demands)
	order := make([]int, 0, len(demands))
	open := 0.0 // weight of the customers that are not yet satisfied
	for i := range demands {
		if demands[i].Amount > 0 {
			order = append(order, i)
			open += weights[i]
		}
	}
	level := func(i int) float64 { return demands[i].Amount / weights[i] }
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(level(a), level(b)), cmp.Compare(a, b)) })
	parts := make([]float64, len(demands))
	left := math.Max(capacity, 0)
	for _, i := range order {
		parts[i] = math.Min(demands[i].Amount, left*weights[i]/open)
		left = math.Max(left-parts[i], 0)
		open -= weights[i]
	}
	return parts
}

func effectiveWeights(demands []Demand) []float64 {
	sum, n := 0.0, 0
	for _, d := range demands {
		if d.Weight > 0 {
			sum += d.Weight
			n++
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	weights := make([]float64, len(demands))
	for i, d := range demands {
		weights[i] = mean
		if d.Weight > 0 {
			weights[i] = d.Weight
		}
	}
	return weights
}
