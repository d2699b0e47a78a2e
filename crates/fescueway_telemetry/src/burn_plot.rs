//! Plot of service-level burn.

use plotters::{
    chart::{ChartContext, SeriesLabelPosition},
    coord::{combinators::LogCoord, types::RangedCoordf64},
    drawing::DrawingAreaErrorKind,
    prelude::{
        Cartesian2d, ChartBuilder, Color, DrawingBackend, IntoDrawingArea, IntoLogRange,
        LineSeries, Palette, Palette99, PathElement, RGBAColor, RGBColor, SVGBackend, WHITE,
    },
};

use crate::{BURN_ALARMS, BurnReport, ServiceBurn};

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1_000, 560);

/// Font of all text.
const FONT: &str = "sans-serif";

/// Size of the title, in pixels.
const TITLE_SIZE: u32 = 24;

/// Size of all other text, in pixels.
const TEXT_SIZE: u32 = 16;

/// Lower end of the burn axis, which is logarithmic.
const MIN_BURN: f64 = 0.01;

/// Upper end of the burn axis.
const MAX_BURN: f64 = 1_000.0;

/// Minimum number of hours shown.
const MIN_HOURS: usize = 6;

/// Length of a line sample in the legend, in pixels.
const LEGEND_WIDTH: i32 = 16;

/// Colour of the threshold lines.
const THRESHOLD_COLOUR: RGBColor = RGBColor(200, 60, 60);

/// The plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("burn plot: {0}")]
pub struct PlotError(String);

/// Draws the burn rate of each service over the past hours, with the thresholds of the alarms, as SVG.
///
/// # Errors
///
/// When the plot library fails.
pub fn burn_svg(report: &BurnReport) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(report, &mut svg).map_err(|error| PlotError(error.to_string()))?;
    Ok(svg)
}

/// Error of the plot library.
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// The chart: hours on the x axis, burn on a logarithmic y axis.
type BurnChart<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, LogCoord<f64>>>;

/// Draws the plot into `svg`.
fn draw<'b>(report: &BurnReport, svg: &'b mut String) -> Result<(), DrawError<'b>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let hours = report.services.iter().map(|burn| burn.hours.len());
    let first_hour = -(hours.max().unwrap_or(0).max(MIN_HOURS) as f64);
    let mut chart = ChartBuilder::on(&area)
        .caption("Service-level burn by hour", (FONT, TITLE_SIZE))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(first_hour..0.0, (MIN_BURN..MAX_BURN).log_scale())?;
    chart
        .configure_mesh()
        .label_style((FONT, TEXT_SIZE))
        .x_desc("hours ago")
        .x_label_formatter(&|hours| format!("{:.0}", hours.abs()))
        .y_desc("burn (1 uses the whole budget in the objective's window)")
        .draw()?;
    for alarm in BURN_ALARMS {
        let name = format!("{} above {}", alarm.severity.as_str(), alarm.threshold);
        let ends = vec![(first_hour, alarm.threshold), (0.0, alarm.threshold)];
        draw_line(&mut chart, name, ends, THRESHOLD_COLOUR.mix(0.5))?;
    }
    for (index, burn) in report.services.iter().enumerate() {
        let name = format!("{} {}", burn.site, burn.service);
        draw_line(
            &mut chart,
            name,
            hourly_burn(burn),
            Palette99::pick(index).to_rgba(),
        )?;
    }
    chart
        .configure_series_labels()
        .label_font((FONT, TEXT_SIZE))
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()
}

/// Draws one line and adds its name to the legend.
fn draw_line<'b>(
    chart: &mut BurnChart<'_, 'b>,
    name: String,
    points: Vec<(f64, f64)>,
    colour: RGBAColor,
) -> Result<(), DrawError<'b>> {
    let line = LineSeries::new(points, colour.stroke_width(2));
    let series = chart.draw_series(line)?;
    series
        .label(name)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], colour));
    Ok(())
}

/// The burn of a service by hour, oldest first, clamped to the axis.
fn hourly_burn(burn: &ServiceBurn) -> Vec<(f64, f64)> {
    let hours = burn.hours.iter().enumerate().rev();
    let points = hours.map(|(hour, count)| {
        let rate = count.burn(burn.availability);
        (-(hour as f64), rate.clamp(MIN_BURN, MAX_BURN))
    });
    points.collect()
}
