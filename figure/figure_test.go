package figure_test

import (
	"fmt"

	"oleandervane.example/figure"
)

func ExampleFigure_String() {
	fmt.Println(figure.Figure{Name: "lookup_allocations", Value: 0, Unit: "allocs/op", Direction: figure.AtMost, Bound: 0})
	fmt.Println(figure.Figure{Name: "goodput_at_5x", Value: 0.87, Unit: "ratio", Direction: figure.AtLeast, Bound: 0.9})
	// Output:
	// lookup_allocations 0 allocs/op <=0 ok
	// goodput_at_5x 0.87 ratio >=0.9 short
}
