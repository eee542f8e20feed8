//! State and services that the plug-ins of a process share.

use std::any::{Any, TypeId, type_name};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;

use super::{Shutdown, Timers};
use crate::core::ids::Incarnation;
use crate::core::stop::StopSchedule;
use crate::ops::platform::PlatformClient;
use crate::ops::settings::ProcessSettings;
use crate::ops::telemetry::{Metrics, Tracer};

struct Shared {
    settings: ProcessSettings,
    incarnation: Incarnation,
    log: Logger,
    metrics: Metrics,
    tracer: Tracer,
    timers: Timers,
    shutdown: Shutdown,
    /// Set once a planned stop is requested.
    stop_schedule: Cell<Option<StopSchedule>>,
    /// Each value is an `Rc<T>` under the `TypeId` of `T`.
    services: RefCell<HashMap<TypeId, Box<dyn Any>>>,
}

/// Settings, logger, timers and service table of a process. Clones share them.
#[derive(Clone)]
pub struct Context {
    shared: Rc<Shared>,
}

impl Context {
    /// Creates a context with a random incarnation. Its service table already contains the platform
    /// client, so that plug-ins can look it up during their registration.
    pub fn new(settings: ProcessSettings, log: Logger, metrics: Metrics) -> Self {
        let platform = PlatformClient::new(settings.platform.address);
        let tracer = match settings.tracing.collector_address {
            Some(_) => Tracer::new(settings.tracing.sample_one_in),
            None => Tracer::disabled(),
        };
        let context = Self {
            shared: Rc::new(Shared {
                settings,
                incarnation: rand::random::<u64>() | 1,
                log,
                metrics,
                tracer,
                timers: Timers::new(),
                shutdown: Shutdown::new(),
                stop_schedule: Cell::new(None),
                services: RefCell::default(),
            }),
        };
        context.provide(Rc::new(platform));
        context
    }

    /// Returns the settings of the process.
    pub fn settings(&self) -> &ProcessSettings {
        &self.shared.settings
    }

    /// Returns the random number that identifies this run of the process; never 0.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Returns the logger.
    pub fn log(&self) -> &Logger {
        &self.shared.log
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the tracer.
    pub fn tracer(&self) -> &Tracer {
        &self.shared.tracer
    }

    /// Returns the timer service.
    pub fn timers(&self) -> &Timers {
        &self.shared.timers
    }

    /// Returns the state of the graceful shutdown.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shared.shutdown
    }

    /// Requests a planned stop of the process. Further calls have no effect.
    pub fn request_stop(&self) {
        if self.stop_schedule().is_none() {
            let stop = &self.settings().stop;
            let schedule = StopSchedule::new(
                self.timers().boot_now(),
                Duration::from_millis(stop.balancer_notice_ms),
                Duration::from_millis(stop.drain_limit_ms),
            );
            self.shared.stop_schedule.set(Some(schedule));
        }
        self.shutdown().request();
    }

    /// Returns the time limits of the planned stop, on the clock of [`Timers::boot_now`], once it is
    /// requested.
    pub fn stop_schedule(&self) -> Option<StopSchedule> {
        self.shared.stop_schedule.get()
    }

    /// Adds a service to the table.
    ///
    /// # Panics
    ///
    /// Panics if two plug-ins provide the same service, which is a programming error.
    pub fn provide<T: ?Sized + 'static>(&self, service: Rc<T>) {
        let previous = self
            .shared
            .services
            .borrow_mut()
            .insert(TypeId::of::<T>(), Box::new(service));
        assert!(
            previous.is_none(),
            "service {} is provided twice",
            type_name::<T>()
        );
    }

    /// Returns a service from the table, or `None` if no plug-in provides it.
    pub fn find_service<T: ?Sized + 'static>(&self) -> Option<Rc<T>> {
        let services = self.shared.services.borrow();
        let service = services.get(&TypeId::of::<T>())?;
        service.downcast_ref::<Rc<T>>().map(Rc::clone)
    }

    /// Returns a service from the table.
    ///
    /// # Panics
    ///
    /// Panics if no plug-in provides the service, which is a programming error.
    pub fn service<T: ?Sized + 'static>(&self) -> Rc<T> {
        self.find_service()
            .unwrap_or_else(|| panic!("service {} is not provided", type_name::<T>()))
    }
}
